package aubauth

import (
	"bytes"
	"encoding/base64"
	"net/http"
	"net/url"
	"regexp"
	"strings"
)

const (
	// minSearchedChars is the minimum length of a credential value that is searched
	// for elsewhere in the request; shorter ones would match by chance.
	minSearchedChars = 8
	// maxEscapeLayers is the number of layers of percent-encoding that are searched.
	maxEscapeLayers = 4
)

const (
	bearerScheme = "bearer"
	cookieHeader = "Cookie"
)

// credentialHeaders are headers that are never forwarded to a backend server.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Apikey", "X-Api-Token", "X-Auth-Token",
	"X-Access-Token", "X-Goog-Api-Key", "Openai-Api-Key", "Ocp-Apim-Subscription-Key", "Authentication",
	"X-Authorization", "X-Forwarded-Authorization", "X-Original-Authorization",
}

// credentialParams are query parameters and cookies that are never forwarded to a
// backend server.
var credentialParams = []string{
	"key", "api_key", "apikey", "api-key", "x-api-key", "access_token", "access-token",
	"auth_token", "authorization", "bearer", "bearer_token", "subscription-key",
}

// generatedSecret matches keys made by NewKey in lower-case text, whether or not the
// request presents them as its credential.
var generatedSecret = regexp.MustCompile(secretPrefix + `[a-z0-9_-]{43}`)

// PresentedKey returns the key that a request presents: the bearer token, else
// X-Api-Key, else Api-Key. It is empty when there is none, or when the first of these
// headers that is present has more than one value.
func PresentedKey(h http.Header) string {
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key"} {
		values := h.Values(name)
		if len(values) == 0 {
			continue
		}
		if len(values) > 1 {
			return ""
		}
		if name != "Authorization" {
			return strings.TrimSpace(values[0])
		}
		return bearerToken(values[0])
	}
	return ""
}

func bearerToken(value string) string {
	scheme, token, ok := strings.Cut(strings.TrimSpace(value), " ")
	if !ok || !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.TrimSpace(token)
}

// StripKey removes the key from the headers and the URL of a request that is
// forwarded to a backend server.
func StripKey(h http.Header, u *url.URL) {
	s := NewStripper(h, u)
	s.StripHeader(h)
	s.StripURL(u)
}

// Stripper removes the keys that one request presents from its headers, trailers and
// URL. It does not change bodies. It is immutable.
type Stripper struct {
	// secrets are the presented keys in lower case.
	secrets []string
}

// NewStripper returns a stripper for the values of the request's credential headers,
// credential query parameters and URL password.
func NewStripper(h http.Header, u *url.URL) Stripper {
	var s Stripper
	for _, name := range credentialHeaders {
		for _, value := range h.Values(name) {
			s = s.withCredential(value)
		}
	}
	if u == nil {
		return s
	}
	for name, values := range u.Query() {
		if !isCredentialParam(name) {
			continue
		}
		for _, value := range values {
			s = s.withCredential(value)
		}
	}
	if password, ok := u.User.Password(); ok {
		s = s.withCredential(password)
	}
	return s
}

// withCredential adds the value without its scheme and, for the basic scheme, the
// decoded user name and password.
func (s Stripper) withCredential(value string) Stripper {
	token := strings.TrimSpace(value)
	if _, afterScheme, ok := strings.Cut(token, " "); ok {
		token = strings.TrimSpace(afterScheme)
	}
	s = s.withSecret(token)
	if decoded, ok := decodeBase64(token); ok {
		for part := range strings.SplitSeq(decoded, ":") {
			s = s.withSecret(part)
		}
	}
	return s
}

// withSecret adds the secret, unless it is too short to be searched for.
func (s Stripper) withSecret(secret string) Stripper {
	if len(secret) >= minSearchedChars {
		s.secrets = append(s.secrets[:len(s.secrets):len(s.secrets)], strings.ToLower(secret))
	}
	return s
}

// StripHeader removes credential headers and every header or trailer whose name or
// value contains a key. A Trailer header still lists the trailers that were removed.
func (s Stripper) StripHeader(h http.Header) {
	s.stripCookies(h)
	for name, values := range h {
		if isCredentialHeader(name) || s.ContainsKey(name) || s.anyContainsKey(values) {
			delete(h, name)
		}
	}
}

// stripCookies removes the cookies that are credentials or contain a key.
func (s Stripper) stripCookies(h http.Header) {
	values, ok := h[cookieHeader]
	if !ok {
		return
	}
	var retained []string
	for pair := range strings.SplitSeq(strings.Join(values, "; "), ";") {
		pair = strings.TrimSpace(pair)
		name, _, _ := strings.Cut(pair, "=")
		if pair != "" && !isCredentialParam(name) && !s.ContainsKey(pair) {
			retained = append(retained, pair)
		}
	}
	delete(h, cookieHeader)
	if len(retained) > 0 {
		h[cookieHeader] = []string{strings.Join(retained, "; ")}
	}
}

// StripURL removes user info, the fragment and every query parameter that is a
// credential or contains a key. The other parameters keep their order.
func (s Stripper) StripURL(u *url.URL) {
	if u == nil {
		return
	}
	u.User = nil
	u.Fragment = ""
	u.RawFragment = ""
	u.RawQuery = s.stripQuery(u.RawQuery)
	u.ForceQuery = false
}

func (s Stripper) stripQuery(raw string) string {
	var retained []string
	for pair := range strings.SplitSeq(raw, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if pair == "" || isCredentialParam(unescape(name)) || s.ContainsKey(name) || s.ContainsKey(value) || s.ContainsKey(pair) {
			continue
		}
		retained = append(retained, pair)
	}
	return strings.Join(retained, "&")
}

// ContainsKey reports whether the text contains a presented or generated key: as it is, in
// other case, in base64 or percent-encoded up to maxEscapeLayers times.
func (s Stripper) ContainsKey(text string) bool {
	for range maxEscapeLayers + 1 {
		if s.containsPlainKey(text) || s.containsBase64Key(text) {
			return true
		}
		decoded := unescape(text)
		if decoded == text {
			return false
		}
		text = decoded
	}
	return false
}

// BodyContainsKey reports whether a body contains a presented key, as it is or in other
// case.
func (s Stripper) BodyContainsKey(data []byte) bool {
	if len(s.secrets) == 0 {
		return false
	}
	lower := bytes.ToLower(data)
	for _, secret := range s.secrets {
		if bytes.Contains(lower, []byte(secret)) {
			return true
		}
	}
	return false
}

func (s Stripper) anyContainsKey(values []string) bool {
	for _, v := range values {
		if s.ContainsKey(v) {
			return true
		}
	}
	return false
}

func (s Stripper) containsPlainKey(text string) bool {
	lower := strings.ToLower(text)
	for _, secret := range s.secrets {
		if strings.Contains(lower, secret) {
			return true
		}
	}
	return strings.Contains(lower, secretPrefix) && generatedSecret.MatchString(lower)
}

func (s Stripper) containsBase64Key(text string) bool {
	for word := range strings.FieldsFuncSeq(text, isBase64Delimiter) {
		if decoded, ok := decodeBase64(word); ok && s.containsPlainKey(decoded) {
			return true
		}
	}
	return false
}

func isBase64Delimiter(r rune) bool {
	return strings.ContainsRune(" \t,;:\"'", r)
}

func decodeBase64(text string) (string, bool) {
	text = strings.TrimRight(text, "=")
	for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		if decoded, err := encoding.DecodeString(text); err == nil {
			return string(decoded), true
		}
	}
	return "", false
}

// percentEscape matches one percent-encoded byte.
var percentEscape = regexp.MustCompile(`%[0-9A-Fa-f]{2}`)

// unescape decodes every percent-encoded byte. Unlike url.QueryUnescape it leaves
// malformed ones as they are, because a lenient backend server may do the same.
func unescape(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	return percentEscape.ReplaceAllStringFunc(text, func(e string) string {
		decoded, err := url.PathUnescape(e)
		if err != nil {
			return e
		}
		return decoded
	})
}

func isCredentialHeader(name string) bool {
	for _, credential := range credentialHeaders {
		if strings.EqualFold(name, credential) {
			return true
		}
	}
	return false
}

func isCredentialParam(name string) bool {
	for _, credential := range credentialParams {
		if strings.EqualFold(name, credential) {
			return true
		}
	}
	return false
}
