package aubsettings

//go:generate sh -c "go run ../../cmd/auburndale settings reference > ../../docs/SETTINGS.md.new && mv ../../docs/SETTINGS.md.new ../../docs/SETTINGS.md"
//go:generate sh -c "go run ../../cmd/auburndale settings errors > ../../docs/ERRORS.md.new && mv ../../docs/ERRORS.md.new ../../docs/ERRORS.md"
