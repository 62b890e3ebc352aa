package aubresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/auburndale/auburndale/internal/aubheader"
)

const (
	minStatus = http.StatusContinue
	// maxStatus is the highest status of three digits. Those above 599 are not defined and count as server errors.
	maxStatus = 999
)

// CheckSingleHead returns a *BrokenError if the head of a response holds another status line.
func CheckSingleHead(resp *http.Response) error {
	if aubheader.HasStatusLine(resp) {
		return &BrokenError{Fault: FaultHead, Err: errSecondHead}
	}
	return nil
}

// CheckHead returns a *BrokenError unless a final response can have the status and the fields.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return newBrokenError(FaultStatus, "status %d", status)
	}
	return checkFields(header, FaultHead)
}

// CheckTrailer returns a *BrokenError unless a trailer can have the fields.
func CheckTrailer(trailer http.Header) error { return checkFields(trailer, FaultBody) }

func checkFields(header http.Header, fault Fault) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return newBrokenError(fault, "field name %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return newBrokenError(fault, "value of field %s", name)
			}
		}
	}
	return nil
}

// headPart is the part of a head that the next line belongs to.
type headPart int

const (
	// partNone means that no head is expected.
	partNone headPart = iota
	partStatusLine
	partFields
)

// headScanner checks heads line by line while they are received. Lines that are no status line are left to net/http, which
// refuses them.
type headScanner struct {
	next headPart
	// line is the beginning of a line whose end was not received yet.
	line []byte
	// endsWithCR is set if the status line ends with CRLF, not with LF alone.
	endsWithCR      bool
	isInformational bool
	// isWithoutChunks is set if the version of the response has no transfer codings.
	isWithoutChunks bool
	// err is the first violation.
	err error
}

// expect begins with a status line.
func (s *headScanner) expect() { *s = headScanner{next: partStatusLine} }

// scan checks the next bytes of the connection, unless there was a violation. It returns how many of them precede one, with a
// *BrokenError.
func (s *headScanner) scan(data []byte) (int, error) {
	for start := 0; s.next != partNone; {
		length := bytes.IndexByte(data[start:], '\n')
		if length < 0 {
			s.line = append(s.line, data[start:]...)
			if len(s.line) > aubheader.MaxResponseBytes {
				s.err = newBrokenError(FaultHead, "line of more than %d bytes", aubheader.MaxResponseBytes)
			}
			return len(data), nil
		}
		end := start + length
		line := string(s.line) + string(data[start:end])
		s.line = nil
		if s.err = s.checkLine(line); s.err != nil {
			return end, s.err
		}
		start = end + 1
	}
	return len(data), nil
}

// checkLine checks a line without its LF.
func (s *headScanner) checkLine(line string) error {
	text, hasCR := strings.CutSuffix(line, "\r")
	if s.next == partStatusLine {
		s.endsWithCR = hasCR
		return s.checkStatusLine(text)
	}
	switch {
	case hasCR != s.endsWithCR:
		// A line break within a line would end the head early.
		return newBrokenError(FaultHead, "lines end differently")
	case text == "" && s.isInformational:
		s.next = partStatusLine
		return nil
	case text == "":
		s.next = partNone
		return nil
	case text[0] == ' ' || text[0] == '\t':
		return checkFolded(text)
	}
	return s.checkField(text)
}

func (s *headScanner) checkStatusLine(line string) error {
	s.next = partNone
	proto, rest, _ := strings.Cut(line, " ")
	major, minor, isVersion := http.ParseHTTPVersion(proto)
	status, isStatus := parseStatus(rest)
	switch {
	case !isVersion, !isStatus:
		return nil
	case !httpguts.ValidHeaderFieldValue(rest):
		return newBrokenError(FaultHead, "status line %q", line)
	case status < minStatus, status == http.StatusSwitchingProtocols:
		// No request asks for another protocol.
		return newBrokenError(FaultStatus, "status line %q", line)
	}
	s.next = partFields
	s.isInformational = status < http.StatusOK
	s.isWithoutChunks = major < 1 || major == 1 && minor < 1
	return nil
}

// parseStatus returns the status at the beginning of the text, as net/http reads it.
func parseStatus(text string) (int, bool) {
	digits, _, _ := strings.Cut(strings.TrimLeft(text, " "), " ")
	status, err := strconv.Atoi(digits)
	return status, err == nil
}

func (s *headScanner) checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	switch {
	case !ok || !httpguts.ValidHeaderFieldName(name):
		return newBrokenError(FaultHead, "field name %q", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return newBrokenError(FaultHead, "value of field %s", name)
	case s.isWithoutChunks && http.CanonicalHeaderKey(name) == "Transfer-Encoding":
		// RFC 9112, section 6.1. net/http would take the coded body for the body.
		return newBrokenError(FaultFraming, "transfer coding before HTTP/1.1")
	}
	return nil
}

// checkFolded checks a line that goes on with the value of the field before it. net/http replaces the line break by a space. A
// line that reads like a field could be one whose name begins with a space; RFC 9112, section 5.2, allows to refuse it.
func checkFolded(line string) error {
	name, _, hasColon := strings.Cut(strings.Trim(line, " \t"), ":")
	if hasColon && httpguts.ValidHeaderFieldName(strings.TrimRight(name, " \t")) {
		return newBrokenError(FaultHead, "field name %q", line[:1]+name)
	}
	if !httpguts.ValidHeaderFieldValue(line) {
		return newBrokenError(FaultHead, "folded line %q", line)
	}
	return nil
}
