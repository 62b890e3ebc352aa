package aubheader

import (
	"net/http"
	"strings"
)

// statusDigits is the number of digits of a status.
const statusDigits = 3

// HasStatusLine reports whether the head of a response holds another status line. A backend server that breaks off within a
// head may send an error after it, which then reads as a part of the first response.
func HasStatusLine(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether the text holds an HTTP/1 version and a status.
func containsStatusLine(text string) bool {
	_, rest, ok := strings.Cut(text, "HTTP/1.")
	if !ok {
		return false
	}
	_, rest, _ = strings.Cut(rest, " ")
	status, _, _ := strings.Cut(rest, " ")
	return len(status) == statusDigits && strings.Trim(status, "0123456789") == ""
}
