package aubagent_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "20260101")
	setDefault("rapid.checks", "30")
	goleak.VerifyTestMain(m)
}

// setDefault sets a flag unless the command line set it.
func setDefault(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if !isSet {
		_ = flag.Set(name, value)
	}
}
