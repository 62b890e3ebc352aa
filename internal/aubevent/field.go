// Package aubevent tells the lines of server-sent events from other text.
package aubevent

// IsField reports whether the line, without its end, is a field of an event or a comment. Names of fields consist of
// lower-case letters, digits and hyphens, unlike the lines of most HTTP headers.
func IsField(line []byte) bool {
	for _, c := range line {
		switch {
		case c == ':':
			return true
		case (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-':
			return false
		}
	}
	return true
}
