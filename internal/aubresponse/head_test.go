package aubresponse_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http/httpguts"

	"github.com/auburndale/auburndale/internal/aubresponse"
)

// scriptedConn is a connection from which the parts are read one by one.
type scriptedConn struct {
	net.Conn
	parts [][]byte
}

func (c *scriptedConn) Read(data []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(data, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	return n, nil
}

func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// inParts returns the data in parts of the size.
func inParts(data []byte, size int) [][]byte {
	var parts [][]byte
	for len(data) > 0 {
		n := min(size, len(data))
		parts = append(parts, bytes.Clone(data[:n]))
		data = data[n:]
	}
	return parts
}

// readHeads reads responses until one is final. The first error is that of a head.
func readHeads(data []byte, partBytes int) (*http.Response, error) {
	conn := aubresponse.NewConn(&scriptedConn{parts: inParts(data, partBytes)})
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, conn.HeadError(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// TestHeadFaults checks the fault of each kind of malformed head, whatever the parts in which it is received.
func TestHeadFaults(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		head  string
		fault aubresponse.Fault
		isOK  bool
	}{
		"whole":                    {head: ok + "Name: x\r\n\r\n", isOK: true},
		"no field":                 {head: ok + "\r\n", isOK: true},
		"lines end with LF":        {head: "HTTP/1.1 200 OK\nName: x\n\n", isOK: true},
		"informational":            {head: "HTTP/1.1 103 x\r\nName: x\r\n\r\n" + ok + "\r\n", isOK: true},
		"bytes after the head":     {head: ok + "\r\nBad Name: x\r\n\r\n", isOK: true},
		"folded":                   {head: ok + "Name: x\r\n y z\r\n\r\n", isOK: true},
		"folded without a text":    {head: ok + "Name: x\r\n \r\n\r\n", isOK: true},
		"status 999":               {head: "HTTP/1.1 999 x\r\n\r\n", isOK: true},
		"status 000":               {head: "HTTP/1.1 000 x\r\n\r\n", fault: aubresponse.FaultStatus},
		"status 000, no phrase":    {head: "HTTP/1.1 000\r\n\r\n", fault: aubresponse.FaultStatus},
		"negative status":          {head: "HTTP/1.1 -00 x\r\n\r\n", fault: aubresponse.FaultStatus},
		"switch of protocols":      {head: "HTTP/1.1 101 x\r\n\r\n", fault: aubresponse.FaultStatus},
		"status after another":     {head: "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\n\r\n", fault: aubresponse.FaultStatus},
		"reason phrase":            {head: "HTTP/1.1 200 \x01\r\n\r\n", fault: aubresponse.FaultHead},
		"space in a name":          {head: ok + "Bad Name: x\r\n\r\n", fault: aubresponse.FaultHead},
		"space after a name":       {head: ok + "Name : x\r\n\r\n", fault: aubresponse.FaultHead},
		"name of another response": {head: "HTTP/1.1 103 x\r\nName : x\r\n\r\n" + ok + "\r\n", fault: aubresponse.FaultHead},
		"LF before a name":         {head: ok + "\nName: x\r\n\r\n", fault: aubresponse.FaultHead},
		"LF at the end":            {head: ok + "Name: x\r\n\n", fault: aubresponse.FaultHead},
		"CRLF after LF":            {head: "HTTP/1.1 200 OK\nName: x\r\n\n", fault: aubresponse.FaultHead},
		"folded field":             {head: ok + "Name: x\r\n Name: x\r\n\r\n", fault: aubresponse.FaultHead},
		"folded control byte":      {head: ok + "Name: x\r\n \x01\r\n\r\n", fault: aubresponse.FaultHead},
		"chunks before HTTP/1.1":   {head: "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", fault: aubresponse.FaultFraming},
		"control byte in a name":   {head: ok + "Bad\x01Name: x\r\n\r\n", fault: aubresponse.FaultHead},
		"no colon":                 {head: ok + "Name\r\n\r\n", fault: aubresponse.FaultHead},
		"no status line":           {head: "Name: x\r\n\r\n", fault: aubresponse.FaultHead},
		"no digits in the status":  {head: "HTTP/1.1 2xx x\r\n\r\n", fault: aubresponse.FaultHead},
		"empty":                    {head: "\r\n", fault: aubresponse.FaultHead},
		"ends within a line":       {head: ok + "Name: x", fault: aubresponse.FaultTruncated},
		"ends within the head":     {head: ok + "Name: x\r\n", fault: aubresponse.FaultTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			for partBytes := 1; partBytes <= len(test.head); partBytes++ {
				resp, err := readHeads([]byte(test.head), partBytes)
				if test.isOK {
					qt.Assert(t, err, qt.IsNil, qt.Commentf("in parts of %d bytes", partBytes))
					_ = resp.Body.Close()
					continue
				}
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("in parts of %d bytes", partBytes))
				var broken *aubresponse.BrokenError
				qt.Assert(t, err, qt.ErrorAs, &broken, qt.Commentf("in parts of %d bytes", partBytes))
				qt.Assert(t, broken.Fault, qt.Equals, test.fault)
			}
		})
	}
}

// TestBufferedBytesOfAHeadAreChecked guards against a response whose head was received with the response before it.
func TestBufferedBytesOfAHeadAreChecked(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for second, isOK := range map[string]bool{first: true, "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n": false} {
		for partBytes := 1; partBytes <= len(first+second); partBytes++ {
			conn := aubresponse.NewConn(&scriptedConn{parts: inParts([]byte(first+second), partBytes)})
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			buffered, _ := reader.Peek(reader.Buffered())
			err = conn.ExpectResponse(buffered)
			if err == nil {
				resp, err = http.ReadResponse(reader, nil)
			}
			qt.Assert(t, err == nil, qt.Equals, isOK, qt.Commentf("in parts of %d bytes: %v", partBytes, err))
			if err == nil {
				_ = resp.Body.Close()
			}
		}
	}
}

// FuzzHead checks that the verdict on a head doesn't depend on the parts in which it is received, and that a response which is
// returned has a status and fields that HTTP allows.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nName: x\r\n\r\nbody", "HTTP/1.1 000 x\r\n\r\n", "HTTP/1.1 103 x\r\nLink: <x>\r\n\r\nHTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\nName: x\n y\n\n", "HTTP/1.1 200 OK\r\n\nName : x\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(head), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, partBytes int) {
		if partBytes < 1 || len(data) == 0 {
			return
		}
		whole, wholeErr := readHeads(data, len(data))
		inParts, partsErr := readHeads(data, partBytes)
		qt.Assert(t, wholeErr == nil, qt.Equals, partsErr == nil, qt.Commentf("%v, %v", wholeErr, partsErr))
		if wholeErr != nil {
			return
		}
		qt.Assert(t, whole.Header, qt.DeepEquals, inParts.Header)
		qt.Assert(t, whole.StatusCode >= http.StatusOK && whole.StatusCode <= 999, qt.IsTrue, qt.Commentf("%d", whole.StatusCode))
		for name, values := range whole.Header {
			qt.Assert(t, httpguts.ValidHeaderFieldName(name), qt.IsTrue, qt.Commentf("%q", name))
			qt.Assert(t, httpguts.ValidHeaderFieldValue(strings.Join(values, "")), qt.IsTrue, qt.Commentf("%q", values))
		}
		_, _ = whole.Body.Close(), inParts.Body.Close()
	})
}
