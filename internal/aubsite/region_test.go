package aubsite_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubsite"
)

// TestAllowedRegions guards against a request that runs in a region which its route or its workspace does not name.
func TestAllowedRegions(t *testing.T) {
	for _, test := range []struct {
		route, workspace, want string
		wantOK                 bool
	}{
		{wantOK: true},
		{route: "r1", want: "r1", wantOK: true},
		{workspace: "r2 r3", want: "r2 r3", wantOK: true},
		{route: "r1 r2", workspace: "r3 r2", want: "r2", wantOK: true},
		{route: "r1 r2 r3", workspace: "r3 r1", want: "r1 r3", wantOK: true},
		{route: "r1", workspace: "r2"},
		{route: "unknown", workspace: "r2"},
		{route: "unknown", want: "unknown", wantOK: true},
	} {
		got, ok := aubsite.AllowedRegions(
			aubsite.Route{Regions: strings.Fields(test.route)}, aubsite.Workspace{Regions: strings.Fields(test.workspace)},
		)
		comment := qt.Commentf("%q and %q", test.route, test.workspace)
		qt.Check(t, strings.Join(got, " "), qt.Equals, test.want, comment)
		qt.Check(t, ok, qt.Equals, test.wantOK, comment)
	}
	qt.Check(t, aubsite.InRegions(nil, ""), qt.IsTrue)
	qt.Check(t, aubsite.InRegions([]string{"r1"}, "r1"), qt.IsTrue)
	qt.Check(t, aubsite.InRegions([]string{"r1"}, "r2"), qt.IsFalse)
	qt.Check(t, aubsite.InRegions([]string{""}, ""), qt.IsFalse)
}
