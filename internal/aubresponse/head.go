package aubresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/auburndale/auburndale/internal/aubheader"
)

const (
	minStatus = http.StatusContinue
	// maxStatus is the highest status of three digits. Those above 599 are not defined and count as server errors.
	maxStatus = 999
)

// CheckResponse returns a *BrokenError if the head of a response holds another status line.
func CheckResponse(resp *http.Response) error {
	if aubheader.HasStatusLine(resp) {
		return &BrokenError{Fault: FaultHead, Err: errSecondHead}
	}
	return nil
}

// CheckHead returns a *BrokenError unless a final response can have the status.
func CheckHead(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return newBrokenError(FaultStatus, "status %d", status)
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
	line            []byte
	isInformational bool
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
	line = strings.TrimSuffix(line, "\r")
	switch {
	case s.next == partStatusLine:
		return s.checkStatusLine(line)
	case line == "" && s.isInformational:
		s.next = partStatusLine
	case line == "":
		s.next = partNone
	}
	return nil
}

func (s *headScanner) checkStatusLine(line string) error {
	s.next = partNone
	proto, rest, _ := strings.Cut(line, " ")
	_, _, isVersion := http.ParseHTTPVersion(proto)
	status, isStatus := parseStatus(rest)
	switch {
	case !isVersion, !isStatus:
		return nil
	case status < minStatus, status == http.StatusSwitchingProtocols:
		// No request asks for another protocol.
		return newBrokenError(FaultStatus, "status line %q", line)
	}
	s.next = partFields
	s.isInformational = status < http.StatusOK
	return nil
}

// parseStatus returns the status at the beginning of the text, as net/http reads it.
func parseStatus(text string) (int, bool) {
	digits, _, _ := strings.Cut(strings.TrimLeft(text, " "), " ")
	status, err := strconv.Atoi(digits)
	return status, err == nil
}
