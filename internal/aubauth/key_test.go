package aubauth_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// fakeSource returns the configuration that the test sets.
type fakeSource struct {
	cfg       aubquery.Config
	confirmed time.Time
}

func (s *fakeSource) Config() aubquery.Config        { return s.cfg }
func (s *fakeSource) ConfirmedAt() time.Time         { return s.confirmed }
func (s *fakeSource) Changed(uint64) <-chan struct{} { return nil }

type fixture struct {
	timer  *aubtimer.Manual
	source *fakeSource
	auth   *aubauth.Authenticator
	secret string
	key    aubapi.Key
}

func newFixture(t *testing.T, w aubapi.Workspace) *fixture {
	t.Helper()
	secret, key, err := aubauth.NewKey("desk", w.Name)
	qt.Assert(t, err, qt.IsNil)
	f := &fixture{timer: aubtimer.NewManual(time.Unix(1000, 0)), secret: secret, key: key}
	f.source = &fakeSource{cfg: newConfig(1, w, key), confirmed: f.timer.Now()}
	f.auth = aubauth.NewAuthenticator(aubcommon.NewCommon(f.timer), f.source)
	return f
}

func newConfig(version uint64, w aubapi.Workspace, keys ...aubapi.Key) aubquery.Config {
	return aubquery.NewConfig(aubquery.ConfigObjects{Version: version, Workspaces: []aubapi.Workspace{w}, Keys: keys})
}

func TestAuthenticate(t *testing.T) {
	w := aubapi.Workspace{Name: "zilina"}
	f := newFixture(t, w)
	withdrawn := f.key
	withdrawn.Withdrawn = true
	wrongSalt := f.key
	wrongSalt.Salt = "00"
	cases := []struct {
		name   string
		cfg    aubquery.Config
		key    string
		reason aubauth.Reason
	}{
		{name: "valid", cfg: f.source.cfg, key: f.secret},
		{name: "missing", cfg: f.source.cfg, reason: aubauth.ReasonMissing},
		{name: "unknown", cfg: f.source.cfg, key: f.secret + "x", reason: aubauth.ReasonUnknown},
		{name: "same lookup, other hash", cfg: newConfig(2, w, wrongSalt), key: f.secret, reason: aubauth.ReasonUnknown},
		{name: "withdrawn", cfg: newConfig(2, w, withdrawn), key: f.secret, reason: aubauth.ReasonWithdrawn},
		{name: "removed", cfg: newConfig(2, w), key: f.secret, reason: aubauth.ReasonUnknown},
		{name: "workspace removed", cfg: newConfig(2, aubapi.Workspace{Name: "other"}, f.key), key: f.secret, reason: aubauth.ReasonUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.source.cfg = c.cfg
			id, err := f.auth.Authenticate(c.key)
			if c.reason == "" {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, id, qt.Equals, aubauth.Identity{Workspace: "zilina", KeyName: "desk", KeyLookup: f.key.Lookup})
				return
			}
			var refused *aubauth.UnauthenticatedError
			qt.Assert(t, err, qt.ErrorAs, &refused)
			qt.Assert(t, refused.Reason, qt.Equals, c.reason)
			qt.Assert(t, err, qt.ErrorMatches, "no valid key")
		})
	}
}

func TestCutOffRule(t *testing.T) {
	cases := []struct {
		name           string
		w              aubapi.Workspace
		age            time.Duration
		neverConfirmed bool
		stale          bool
	}{
		{name: "serve at any age", w: aubapi.Workspace{Name: "w", CutOff: aubapi.CutOffServe}, age: 9 * time.Hour},
		{name: "serve is the default", w: aubapi.Workspace{Name: "w"}, age: 9 * time.Hour},
		{name: "refuse within the bound", w: refuseAfter(60), age: 60 * time.Second},
		{name: "refuse beyond the bound", w: refuseAfter(60), age: 61 * time.Second, stale: true},
		{name: "refuse when never confirmed", w: refuseAfter(60), neverConfirmed: true, stale: true},
		{name: "serve when never confirmed", w: aubapi.Workspace{Name: "w"}, neverConfirmed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.w)
			if c.neverConfirmed {
				f.source.confirmed = time.Time{}
			}
			f.timer.Advance(c.age)
			_, err := f.auth.Authenticate(f.secret)
			if !c.stale {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var stale *aubauth.StaleConfigError
			qt.Assert(t, err, qt.ErrorAs, &stale)
			qt.Assert(t, stale.RetryAfter > 0, qt.IsTrue)
		})
	}
}

func TestUnknownConfigurationIsStale(t *testing.T) {
	f := newFixture(t, aubapi.Workspace{Name: "w"})
	f.source.cfg = aubquery.NewConfig(aubquery.ConfigObjects{})
	f.source.confirmed = time.Time{}
	_, err := f.auth.Authenticate(f.secret)
	var stale *aubauth.StaleConfigError
	qt.Assert(t, err, qt.ErrorAs, &stale)
}

func TestRecheckRefusesReplacedKey(t *testing.T) {
	w := aubapi.Workspace{Name: "w"}
	f := newFixture(t, w)
	id, err := f.auth.Authenticate(f.secret)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.auth.Recheck(id), qt.IsNil)

	_, rotated, err := aubauth.NewKey("desk", "w")
	qt.Assert(t, err, qt.IsNil)
	f.source.cfg = newConfig(2, w, rotated)
	qt.Assert(t, f.auth.Recheck(id), qt.IsNotNil)
}

func TestStoreKeyRefusesInvalidSecrets(t *testing.T) {
	for _, secret := range []string{"", "short", "with a space in the middle", "with-\x00-control-characters"} {
		_, err := aubauth.StoreKey(secret, "k", "w")
		var refused *aubauth.SecretError
		qt.Assert(t, err, qt.ErrorAs, &refused)
	}
	key, err := aubauth.StoreKey("aub-local-example-key", "local", "example")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, key.Lookup, qt.HasLen, 8)
}

func BenchmarkAuthenticate(b *testing.B) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	secret, key, err := aubauth.NewKey("k", "w")
	if err != nil {
		b.Fatal(err)
	}
	source := &fakeSource{cfg: newConfig(1, aubapi.Workspace{Name: "w"}, key)}
	auth := aubauth.NewAuthenticator(aubcommon.NewCommon(timer), source)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := auth.Authenticate(secret); err != nil {
			b.Fatal(err)
		}
	}
}

func refuseAfter(seconds int64) aubapi.Workspace {
	return aubapi.Workspace{Name: "w", CutOff: aubapi.CutOffRefuse, CutOffBound: seconds}
}
