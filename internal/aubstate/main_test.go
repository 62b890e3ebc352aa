package aubstate_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		// The same verdict in every run; -rapid.seed draws other tickets.
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
