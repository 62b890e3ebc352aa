package aubsite_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

func route(name, host, prefix string) aubsite.Route {
	return aubsite.Route{
		Name: name, Host: host, Prefix: prefix, Kind: aubsite.KindIdempotent, Timeout: time.Second,
		Targets: []aubsite.Target{{Service: "s", Weight: 1}},
	}
}

func spec(routes ...aubsite.Route) aubsite.Spec {
	return aubsite.Spec{Number: 1, Services: []aubsite.Service{{Name: "s"}}, Routes: routes}
}

func TestRouteTakesTheLongestPrefix(t *testing.T) {
	site, err := aubsite.New(spec(route("root", "a", "/"), route("deep", "a", "/x/y/"), route("mid", "a", "/x/"), route("other", "b", "/")))
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "deep"},
		{"a", "/x/y", "mid"},
		{"a", "/xy", "root"},
		{"b", "/x/y/z", "other"},
		{"c", "/", ""},
	} {
		r, ok := site.Route(test.host, test.path)
		qt.Check(t, r.Name, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
		qt.Check(t, ok, qt.Equals, test.want != "")
	}
}

// TestCheckOfManyRoutesIsNotQuadratic guards against comparing each route with all others of its host.
func TestCheckOfManyRoutesIsNotQuadratic(t *testing.T) {
	const (
		routeCount = 60_000
		// activationTimeout is the platform's bound from the commit of a revision to its
		// activation.
		activationTimeout = 2500 * time.Millisecond
	)
	routes := make([]aubsite.Route, 0, routeCount)
	for i := range routeCount {
		name := strconv.Itoa(i)
		routes = append(routes, route(name, "a", "/"+name+"/"))
	}
	startedAt := time.Now()
	site, err := aubsite.New(spec(routes...))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, time.Since(startedAt) < activationTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
	r, ok := site.Route("a", "/59999/x")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Name, qt.Equals, "59999")
}

func TestInvalidConfigurations(t *testing.T) {
	withRoute := func(change func(*aubsite.Route)) aubsite.Spec {
		r := route("r", "a", "/")
		change(&r)
		return spec(r)
	}
	for _, test := range []struct {
		name string
		spec aubsite.Spec
		want string
	}{
		{"unknown service", withRoute(func(r *aubsite.Route) { r.Targets[0].Service = "t" }), "unknown service t"},
		{"no timeout", withRoute(func(r *aubsite.Route) { r.Timeout = 0 }), "no timeout"},
		{"weights of 0", withRoute(func(r *aubsite.Route) { r.Targets[0].Weight = 0 }), "add up to 0"},
		{"negative weight", withRoute(func(r *aubsite.Route) { r.Targets[0].Weight = -1 }), "negative weight"},
		{"no target", withRoute(func(r *aubsite.Route) { r.Targets = nil }), "add up to 0"},
		{"prefix without slash", withRoute(func(r *aubsite.Route) { r.Prefix = "/x" }), "end with a slash"},
		{"route with a region without a name", withRoute(func(r *aubsite.Route) { r.Regions = []string{"r1", ""} }), "region without a name"},
		{"workspace with a region without a name", aubsite.Spec{Number: 1, Workspaces: []aubsite.Workspace{
			{Name: "w", Regions: []string{""}},
		}}, "region without a name"},
		{"same host and prefix", spec(route("r", "a", "/"), route("q", "a", "/")), "host and prefix of another route"},
		{"same service", aubsite.Spec{Number: 1, Services: []aubsite.Service{{Name: "s"}, {Name: "s"}}}, "in use"},
		{"shared key", aubsite.Spec{Number: 1, Workspaces: []aubsite.Workspace{
			{Name: "v", Keys: []string{"k"}}, {Name: "w", Keys: []string{"k"}},
		}}, "shares a key"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := aubsite.New(test.spec)
			var invalid *aubsite.InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, err.Error(), qt.Contains, test.want)
		})
	}
}

func TestWorkspaceByKey(t *testing.T) {
	site, err := aubsite.New(aubsite.Spec{Number: 1, Workspaces: []aubsite.Workspace{
		{Name: "v", Keys: []string{"k1", "k2"}}, {Name: "w", Keys: []string{"k3"}},
	}})
	qt.Assert(t, err, qt.IsNil)
	w, ok := site.WorkspaceByKey("k2")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, w.Name, qt.Equals, "v")
	_, ok = site.WorkspaceByKey("")
	qt.Assert(t, ok, qt.IsFalse)
}

// TestHighestRevisionWins applies revisions in random order to two tables, one of
// which is restored from a snapshot in between.
func TestHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "numbers")
		restoreAt := rapid.IntRange(0, len(numbers)-1).Draw(t, "restore at")
		uninterrupted, restored := aubsite.NewTable(), aubsite.NewTable()
		highest := uint64(0)
		content := map[uint64]string{}
		for i, n := range numbers {
			document := string(rune('a' + i))
			body, err := aubsite.EncodeCommand(n, []byte(document))
			if err != nil {
				t.Fatal(err)
			}
			if n > highest {
				highest = n
				content[n] = document
			}
			uninterrupted.Apply(aubcontrol.Command{Body: body})
			restored.Apply(aubcontrol.Command{Body: body})
			if i == restoreAt {
				data, err := restored.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored = aubsite.NewTable()
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
		}
		for _, table := range []*aubsite.Table{uninterrupted, restored} {
			revision, _ := table.Revision()
			document, err := aubsite.Document(revision)
			if err != nil || revision.GetNumber() != highest || string(document) != content[highest] {
				t.Fatalf("revision %d %q (%v), want %d %q", revision.GetNumber(), document, err, highest, content[highest])
			}
		}
	})
}

// TestActiveRevisionNeverDecreases offers an older and an undecodable revision, which must not
// replace the active one.
func TestActiveRevisionNeverDecreases(t *testing.T) {
	decode := func(document []byte) (*aubsite.Site, error) {
		if len(document) == 0 {
			return nil, &aubsite.InvalidError{Reason: "is empty"}
		}
		return aubsite.New(aubsite.Spec{Number: uint64(document[0])})
	}
	active := aubsite.NewActiveSite(aubcommon.NewCommon(aubtimer.NewManual(time.Unix(0, 0))), decode)
	qt.Assert(t, active.Site(), qt.IsNil)
	for _, step := range []struct {
		number   uint64
		document []byte
		want     uint64
	}{
		{3, []byte{3}, 3},
		{2, []byte{2}, 3},
		{5, nil, 3},
		{4, []byte{4}, 4},
	} {
		active.ActivateIfNewer(&aubwire.SiteRevision{Number: step.number, Document: step.document})
		qt.Assert(t, active.Site().Number(), qt.Equals, step.want)
	}
}

func TestNewestRevisionIsKnownOnlyWithRecentAnnouncement(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	active := aubsite.NewActiveSite(aubcommon.NewCommon(timer), nil)
	qt.Assert(t, active.IsNewest(5), qt.IsFalse)
	active.Announce(5)
	qt.Assert(t, active.IsNewest(5), qt.IsTrue)
	qt.Assert(t, active.IsNewest(4), qt.IsFalse)
	active.Announce(4)
	qt.Assert(t, active.IsNewest(4), qt.IsFalse, qt.Commentf("a lagging control process does not lower the newest number"))
	timer.Advance(time.Second)
	qt.Assert(t, active.IsNewest(5), qt.IsTrue)
	timer.Advance(time.Second)
	qt.Assert(t, active.IsNewest(5), qt.IsFalse, qt.Commentf("no control process has announced for 2 s"))
}

// TestOutdatedTimeCountsFromTheFirstMissedRevision guards against a series of revisions that restarts the time.
func TestOutdatedTimeCountsFromTheFirstMissedRevision(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	decode := func(document []byte) (*aubsite.Site, error) {
		if len(document) == 0 {
			return nil, &aubsite.InvalidError{Reason: "is empty"}
		}
		return aubsite.New(aubsite.Spec{Number: uint64(document[0])})
	}
	active := aubsite.NewActiveSite(aubcommon.NewCommon(timer), decode)
	activate := func(number uint64, document []byte) {
		active.ActivateIfNewer(&aubwire.SiteRevision{Number: number, Document: document})
	}
	active.Announce(1)
	activate(1, []byte{1})
	qt.Assert(t, active.OutdatedFor(1), qt.Equals, time.Duration(0))
	for number := uint64(2); number <= 4; number++ {
		active.Announce(number)
		timer.Advance(time.Second)
	}
	qt.Assert(t, active.OutdatedFor(1), qt.Equals, 3*time.Second)
	activate(3, []byte{3})
	qt.Assert(t, active.OutdatedFor(3), qt.Equals, time.Second)
	activate(4, nil)
	qt.Assert(t, active.OutdatedFor(3), qt.Equals, time.Duration(0))
}

// TestConfigurationOfManyRoutesIsStoredCompact guards against a log entry and a transfer as large as the document.
func TestConfigurationOfManyRoutesIsStoredCompact(t *testing.T) {
	document := manyRoutesDocument(1500)
	body, err := aubsite.EncodeCommand(4, document)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(body) < len(document)/8, qt.IsTrue, qt.Commentf("%d of %d bytes", len(body), len(document)))
	table := aubsite.NewTable()
	table.Apply(aubcontrol.Command{Body: body})
	revision, _ := table.Revision()
	stored, err := aubsite.Document(revision)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(stored, document), qt.IsTrue)
}

func TestDamagedDocumentIsNotRead(t *testing.T) {
	revision, err := aubsite.NewRevision(4, manyRoutesDocument(100))
	qt.Assert(t, err, qt.IsNil)
	revision.Document[len(revision.Document)/2] ^= 0xff
	_, err = aubsite.Document(revision)
	var documentErr *aubsite.DocumentError
	qt.Assert(t, errors.As(err, &documentErr), qt.IsTrue, qt.Commentf("%v", err))
}

// manyRoutesDocument returns a document with routes whose names and prefixes are random.
func manyRoutesDocument(count int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var document bytes.Buffer
	for range count {
		fmt.Fprintf(&document, `{"id":"r-%07x","site":"a.example","prefix":"/%08x/","kind":"stream",`+
			`"timeout":12000,"objective":5000,"rank":1,"target":"s","attempts":1,"public":false},`, random.Uint32(), random.Uint32())
	}
	return document.Bytes()
}
