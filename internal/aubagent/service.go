package aubagent

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// errNoEndMark is returned for a response whose truncation can't be detected.
var errNoEndMark = errors.New("answer has neither a length nor an end mark")

// serviceCall is one request to a plain service.
type serviceCall struct{ backendCall }

var _ runner = (*serviceCall)(nil)

// run sends the request once and forwards the response.
func (s *serviceCall) run() *failure {
	resp, err := s.agent.client.Do(s.exec.ctx, s.httpCall())
	if err != nil {
		return s.diagnose(err)
	}
	defer resp.Body.Close()
	if err := s.forwardResponse(resp); err != nil {
		return s.diagnose(err)
	}
	return nil
}

// forwardResponse forwards the response as frames while it is read.
func (s *serviceCall) forwardResponse(resp *http.Response) error {
	if err := s.checkRequestID(resp); err != nil {
		return err
	}
	s.observeAdvice(resp)
	if !hasEndMark(resp) {
		return errNoEndMark
	}
	if err := s.sendHead(resp); err != nil {
		return err
	}
	for {
		data := make([]byte, maxFrameDataBytes)
		n, err := resp.Body.Read(data)
		if n > 0 {
			if err := s.sendData(data[:n], 0); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			s.sendEnd(&aubwire.FrameEnd{Trailers: encodeHeaders(resp.Trailer)})
			return nil
		}
		if err != nil {
			return errors.Join(aubengine.ErrIncomplete, err)
		}
	}
}

// hasEndMark reports whether a complete body can be distinguished from a truncated
// one.
func hasEndMark(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.Body == http.NoBody || slices.Contains(resp.TransferEncoding, "chunked")
}
