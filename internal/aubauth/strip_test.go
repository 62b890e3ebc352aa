package aubauth_test

import (
	"bytes"
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubauth"
)

const exampleKey = "aub-local-example-key"

// place is one place where a caller can put a key.
type place struct {
	name string
	put  func(r *http.Request, key string)
}

func header(name, before, after string) place {
	return place{name: name + ": " + before + "KEY" + after, put: func(r *http.Request, key string) {
		r.Header[name] = append(r.Header[name], before+key+after)
	}}
}

func query(text string) place {
	return place{name: "?" + text, put: func(r *http.Request, key string) {
		pair := strings.ReplaceAll(text, "KEY", key)
		r.URL.RawQuery = strings.TrimPrefix(r.URL.RawQuery+"&"+pair, "&")
	}}
}

func encoded(name string, encode func(string) string) place {
	return place{name: name, put: func(r *http.Request, key string) {
		r.Header.Set("X-Note", encode(key))
		r.URL.RawQuery += "&note=" + url.QueryEscape(encode(key))
	}}
}

func everyPlace() []place {
	places := []place{
		header("Authorization", "Bearer ", ""),
		header("Authorization", "bearer  ", " "),
		header("authorization", "Bearer ", ""),
		header("AUTHORIZATION", "", ""),
		header("Proxy-Authorization", "Bearer ", ""),
		header("X-Api-Key", "", ""),
		header("x-api-key", "", ""),
		header("Api-Key", "", ""),
		header("X-Auth-Token", "", ""),
		header("X-Forwarded-Authorization", "Bearer ", ""),
		header("Cookie", "theme=dark; api_key=", "; lang=sk"),
		header("Cookie", "session=", ""),
		header("X-Own", "", ""),
		header("X-Own", "before ", " after"),
		header("Referer", "https://example.org/?key=", "&x=1"),
		header("Forwarded", "for=", ";proto=http"),
		header("X-Forwarded-Uri", "/roster/swaps?api_key=", ""),
		header("Idempotency-Key", "", ""),
		header("X-Request-Id", "", ""),
		query("key=KEY"), query("api_key=KEY"), query("API_KEY=KEY"), query("access_token=KEY"),
		query("q=KEY"), query("q=before+KEY"), query("KEY"), query("KEY=1"), query("a=1&b=xKEYx&c=2"),
		encoded("base64", func(k string) string { return base64.StdEncoding.EncodeToString([]byte(k)) }),
		encoded("base64 for addresses, with a prefix", func(k string) string {
			return base64.URLEncoding.EncodeToString([]byte("user:" + k))
		}),
		encoded("percent-encoded", percentEncode),
		encoded("percent-encoded twice", func(k string) string { return url.QueryEscape(percentEncode(k)) }),
		encoded("upper case", strings.ToUpper),
		query("note=%zz" + percentEncode("aub-") + "KEY"), query("%6bey=KEY"), query("a=%6bey=KEY"),
		{name: "header name", put: func(r *http.Request, key string) { r.Header["X-"+key] = []string{"1"} }},
		{name: "basic scheme", put: func(r *http.Request, key string) { r.SetBasicAuth("user", key) }},
		{name: "user info", put: func(r *http.Request, key string) { r.URL.User = url.UserPassword("user", key) }},
		{name: "fragment", put: func(r *http.Request, key string) { r.URL.Fragment = key }},
		{name: "trailer", put: func(r *http.Request, key string) { r.Trailer = http.Header{"X-Sum": {key}} }},
		{name: "trailer of a credential's name", put: func(r *http.Request, key string) {
			r.Trailer = http.Header{"Authorization": {"Bearer " + key}}
		}},
		{name: "trailer name", put: func(r *http.Request, key string) { r.Trailer = http.Header{"X-" + key: {"1"}} }},
	}
	return places
}

func percentEncode(text string) string {
	var b strings.Builder
	for _, c := range []byte(text) {
		b.WriteString("%")
		b.WriteString(strings.ToUpper(hexByte(c)))
	}
	return b.String()
}

func hexByte(c byte) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[c>>4], digits[c&15]})
}

// forward strips the request as an entry does and returns every byte that would
// leave for the backend server, trailers included.
func forward(t *testing.T, r *http.Request) string {
	t.Helper()
	s := aubauth.NewStripper(r.Header, r.URL)
	s.StripHeader(r.Header)
	s.StripURL(r.URL)
	s.StripHeader(r.Trailer)
	var sent bytes.Buffer
	qt.Assert(t, r.Write(&sent), qt.IsNil)
	sent.WriteString(r.URL.String())
	return sent.String()
}

// assertNoKey searches the bytes for the key in every form.
func assertNoKey(t *testing.T, sent, key string) {
	t.Helper()
	lower := strings.ToLower(sent)
	forms := []string{
		key, percentEncode(key), url.QueryEscape(percentEncode(key)), url.QueryEscape(url.QueryEscape(percentEncode(key))),
		base64.StdEncoding.EncodeToString([]byte(key)), base64.StdEncoding.EncodeToString([]byte("user:" + key)),
	}
	for _, form := range forms {
		form = strings.TrimRight(form, "=")
		qt.Assert(t, strings.Contains(lower, strings.ToLower(form)), qt.IsFalse, qt.Commentf("%s in\n%s", form, sent))
	}
}

func newRequest(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://backend/roster/swaps", strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	r.ContentLength = -1
	r.TransferEncoding = []string{"chunked"}
	return r
}

// The key is shown once as callers do and once more in every other place.
func TestNoKeyReachesABackendServer(t *testing.T) {
	generated, _, err := aubauth.NewKey("k", "w")
	qt.Assert(t, err, qt.IsNil)
	for _, p := range everyPlace() {
		t.Run(p.name, func(t *testing.T) {
			for _, key := range []string{exampleKey, generated} {
				r := newRequest(t)
				r.Header.Set("Authorization", "Bearer "+key)
				p.put(r, key)
				assertNoKey(t, forward(t, r), key)
			}
		})
	}
}

// On an open route a caller may show a key in an unexpected place only. Keys
// that the system made are known by their form.
func TestGeneratedKeysAreFoundWithoutBeingShown(t *testing.T) {
	generated, _, err := aubauth.NewKey("k", "w")
	qt.Assert(t, err, qt.IsNil)
	for _, p := range everyPlace() {
		t.Run(p.name, func(t *testing.T) {
			r := newRequest(t)
			p.put(r, generated)
			assertNoKey(t, forward(t, r), generated)
		})
	}
}

func TestEverythingElseStays(t *testing.T) {
	r := newRequest(t)
	r.Header.Set("Authorization", "Bearer "+exampleKey)
	r.Header.Set("Proxy-Authorization", "Digest short")
	r.Header.Set("Api-Key", "short")
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", "4711")
	r.Header.Set("Cookie", "theme=dark; api_key=x; lang=sk")
	r.URL.RawQuery = "z=%2F1&token=swap-17&key=abc&a=2&a=1&flag"
	r.Trailer = http.Header{"X-Sum": {"17"}}
	aubauth.StripKey(r.Header, r.URL)
	qt.Assert(t, r.Header, qt.DeepEquals, http.Header{
		"Content-Type": {"application/json"}, "X-Request-Id": {"4711"}, "Cookie": {"theme=dark; lang=sk"},
	})
	qt.Assert(t, r.URL.RawQuery, qt.Equals, "z=%2F1&token=swap-17&a=2&a=1&flag")
	qt.Assert(t, r.Trailer, qt.HasLen, 1)
}

func TestPresentedKey(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		want   string
	}{
		{"bearer", http.Header{"Authorization": {"Bearer k"}}, "k"},
		{"scheme in lower case", http.Header{"Authorization": {"bearer  k "}}, "k"},
		{"other scheme", http.Header{"Authorization": {"Basic k"}}, ""},
		{"two values", http.Header{"Authorization": {"Bearer a", "Bearer b"}}, ""},
		{"api key header", http.Header{"X-Api-Key": {" k "}}, "k"},
		{"authorization goes first", http.Header{"Authorization": {"Bearer a"}, "X-Api-Key": {"b"}}, "a"},
		{"nothing", http.Header{}, ""},
	}
	for _, c := range cases {
		qt.Check(t, aubauth.PresentedKey(c.header), qt.Equals, c.want, qt.Commentf(c.name))
	}
}

func BenchmarkStripKey(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		h := http.Header{
			"Authorization": {"Bearer " + exampleKey}, "Content-Type": {"application/json"}, "X-Request-Id": {"4711"},
			"User-Agent": {"client/1.0"}, "Accept": {"*/*"},
		}
		u := &url.URL{Path: "/v1/chat/completions", RawQuery: "a=1"}
		aubauth.StripKey(h, u)
	}
}
