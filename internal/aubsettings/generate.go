package aubsettings

//go:generate sh -c "go run ../../cmd/auburndale settings reference > ../../docs/SETTINGS.md"
