package aubprocess

import (
	"sync"

	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// loadZoning decides whether relays exchange their loads between availability zones as sums.
// It uses the number of relays that control processes have known within minutes, so that a
// few restarts do not switch the exchange.
//
// Lock order: no other lock is acquired while mu is held.
type loadZoning struct {
	directPeers, deferrableDirectPeers int
	spread                             float64
	site                               func() *aubsite.Site

	mu     sync.Mutex
	relays int
	// checked is the configuration to which hasDeferrable belongs.
	checked       *aubsite.Site
	hasDeferrable bool
}

func newLoadZoning(cfg aubsettings.Settings, site func() *aubsite.Site) *loadZoning {
	return &loadZoning{
		directPeers: cfg.Membership.DirectPeers, deferrableDirectPeers: cfg.Admission.DirectPeers,
		spread: cfg.Admission.ObjectiveSpread, site: site,
	}
}

// setRelays sets the number of relays, this one included.
func (z *loadZoning) setRelays(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.relays = n
}

// isZoned reports whether there are more relays than the settings allow for an exchange
// without sums.
func (z *loadZoning) isZoned() bool {
	site := z.site()
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.directPeers > 0 && z.relays > z.directPeers {
		return true
	}
	if site == nil || z.deferrableDirectPeers == 0 || z.relays <= z.deferrableDirectPeers {
		return false
	}
	if site != z.checked {
		z.checked, z.hasDeferrable = site, site.HasDeferrableRoutes(z.spread)
	}
	return z.hasDeferrable
}
