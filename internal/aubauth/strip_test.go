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

// keyLocation is a part of a request where a caller can put a key.
type keyLocation struct {
	name string
	put  func(r *http.Request, key string)
}

func inHeader(name, before, after string) keyLocation {
	return keyLocation{name: name + ": " + before + "KEY" + after, put: func(r *http.Request, key string) {
		r.Header[name] = append(r.Header[name], before+key+after)
	}}
}

func inQuery(text string) keyLocation {
	return keyLocation{name: "?" + text, put: func(r *http.Request, key string) {
		pair := strings.ReplaceAll(text, "KEY", key)
		r.URL.RawQuery = strings.TrimPrefix(r.URL.RawQuery+"&"+pair, "&")
	}}
}

func inEncodedForm(name string, encode func(string) string) keyLocation {
	return keyLocation{name: name, put: func(r *http.Request, key string) {
		r.Header.Set("X-Note", encode(key))
		r.URL.RawQuery += "&note=" + url.QueryEscape(encode(key))
	}}
}

func allKeyLocations() []keyLocation {
	locations := []keyLocation{
		inHeader("Authorization", "Bearer ", ""),
		inHeader("Authorization", "bearer  ", " "),
		inHeader("authorization", "Bearer ", ""),
		inHeader("AUTHORIZATION", "", ""),
		inHeader("Proxy-Authorization", "Bearer ", ""),
		inHeader("X-Api-Key", "", ""),
		inHeader("x-api-key", "", ""),
		inHeader("Api-Key", "", ""),
		inHeader("X-Auth-Token", "", ""),
		inHeader("X-Forwarded-Authorization", "Bearer ", ""),
		inHeader("Cookie", "theme=dark; api_key=", "; lang=sk"),
		inHeader("Cookie", "session=", ""),
		inHeader("X-Own", "", ""),
		inHeader("X-Own", "before ", " after"),
		inHeader("Referer", "https://example.org/?key=", "&x=1"),
		inHeader("Forwarded", "for=", ";proto=http"),
		inHeader("X-Forwarded-Uri", "/roster/swaps?api_key=", ""),
		inHeader("Idempotency-Key", "", ""),
		inHeader("X-Request-Id", "", ""),
		inQuery("key=KEY"), inQuery("api_key=KEY"), inQuery("API_KEY=KEY"), inQuery("access_token=KEY"),
		inQuery("q=KEY"), inQuery("q=before+KEY"), inQuery("KEY"), inQuery("KEY=1"), inQuery("a=1&b=xKEYx&c=2"),
		inEncodedForm("base64", func(k string) string { return base64.StdEncoding.EncodeToString([]byte(k)) }),
		inEncodedForm("URL-safe base64, with a prefix", func(k string) string {
			return base64.URLEncoding.EncodeToString([]byte("user:" + k))
		}),
		inEncodedForm("percent-encoded", percentEncode),
		inEncodedForm("percent-encoded twice", func(k string) string { return url.QueryEscape(percentEncode(k)) }),
		inEncodedForm("upper case", strings.ToUpper),
		inQuery("note=%zz" + percentEncode("aub-") + "KEY"), inQuery("%6bey=KEY"), inQuery("a=%6bey=KEY"),
		{name: "header name", put: func(r *http.Request, key string) { r.Header["X-"+key] = []string{"1"} }},
		{name: "basic scheme", put: func(r *http.Request, key string) { r.SetBasicAuth("user", key) }},
		{name: "user info", put: func(r *http.Request, key string) { r.URL.User = url.UserPassword("user", key) }},
		{name: "fragment", put: func(r *http.Request, key string) { r.URL.Fragment = key }},
		{name: "trailer", put: func(r *http.Request, key string) { r.Trailer = http.Header{"X-Sum": {key}} }},
		{name: "trailer with the name of a credential header", put: func(r *http.Request, key string) {
			r.Trailer = http.Header{"Authorization": {"Bearer " + key}}
		}},
		{name: "trailer name", put: func(r *http.Request, key string) { r.Trailer = http.Header{"X-" + key: {"1"}} }},
	}
	return locations
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

// forwardedText strips the request as an entry does and returns every byte that would
// be sent to the backend server, trailers included.
func forwardedText(t *testing.T, r *http.Request) string {
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

// assertNoKey asserts that the sent text contains the key in no encoding.
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

// The request presents the key in the Authorization header and contains it once more
// in another location.
func TestNoKeyReachesABackendServer(t *testing.T) {
	generated, _, err := aubauth.NewKey("k", "w")
	qt.Assert(t, err, qt.IsNil)
	for _, location := range allKeyLocations() {
		t.Run(location.name, func(t *testing.T) {
			for _, key := range []string{exampleKey, generated} {
				r := newRequest(t)
				r.Header.Set("Authorization", "Bearer "+key)
				location.put(r, key)
				assertNoKey(t, forwardedText(t, r), key)
			}
		})
	}
}

// On an open route, which needs no key, a request may contain a key in an unexpected
// location only. Generated keys are recognised there by their form.
func TestGeneratedKeysAreStrippedWhenNotPresented(t *testing.T) {
	generated, _, err := aubauth.NewKey("k", "w")
	qt.Assert(t, err, qt.IsNil)
	for _, location := range allKeyLocations() {
		t.Run(location.name, func(t *testing.T) {
			r := newRequest(t)
			location.put(r, generated)
			assertNoKey(t, forwardedText(t, r), generated)
		})
	}
}

func TestStripKeyKeepsOtherContent(t *testing.T) {
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
		{"authorization has precedence", http.Header{"Authorization": {"Bearer a"}, "X-Api-Key": {"b"}}, "a"},
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
