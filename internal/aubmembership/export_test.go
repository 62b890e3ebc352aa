package aubmembership

// Parts of the package that its tests look at.
var (
	HeadsOf = headsOf
	PagesOf = pagesOf
	Pack    = pack
)
