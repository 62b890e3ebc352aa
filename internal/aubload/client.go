package aubload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// maxLineBytes is the maximum length of a line of a stream.
const maxLineBytes = 1 << 20

// Sample is the result of one request as its caller observed it.
type Sample struct {
	// Target and Workspace are indexes in the plan.
	Target    int
	Workspace int
	// Status is the HTTP status; 0 when the connection failed.
	Status int
	// Code and Execution are those of the problem document of an error response.
	Code      string
	Execution aubapi.Execution
	// Complete is true if the answer was received to its end.
	Complete bool
	// FirstToken and Total are measured from the planned send time of the request.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between the events of a stream.
	Gaps []time.Duration
	// Tokens is the number of events of a stream without its end mark.
	Tokens int
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// client sends the requests of a trace.
type client struct {
	timer      aubtimer.Service
	httpClient *http.Client
}

// send sends one request, which was planned for due, and reads its response.
func (c client) send(ctx context.Context, url string, w Workspace, a Arrival, due time.Time) Sample {
	sample := Sample{Workspace: a.Workspace}
	mix := w.Mix[a.Mix]
	body, err := json.Marshal(chatBody{
		Model: mix.Model, Stream: mix.Stream, MaxTokens: a.OutputTokens,
		Messages: []chatMessage{{Role: "user", Content: a.Prompt}},
	})
	if err != nil {
		return sample
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return sample
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+w.Key)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return sample
	}
	defer resp.Body.Close()
	sample.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		sample.readProblem(resp.Body)
	case mix.Stream:
		c.readStream(resp.Body, &sample, due)
	default:
		c.readBody(resp.Body, &sample, due)
	}
	sample.Total = c.timer.Now().Sub(due)
	return sample
}

func (s *Sample) readProblem(body io.Reader) {
	var p aubapi.Problem
	if json.NewDecoder(body).Decode(&p) == nil {
		s.Code, s.Execution = p.Error.Code, p.Execution
	}
}

func (c client) readBody(body io.Reader, s *Sample, due time.Time) {
	_, err := io.Copy(io.Discard, body)
	s.Complete = err == nil
	s.FirstToken = c.timer.Now().Sub(due)
}

func (c client) readStream(body io.Reader, s *Sample, due time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	previous := due
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.Complete = true
			continue
		}
		now := c.timer.Now()
		if s.Tokens == 0 {
			s.FirstToken = now.Sub(due)
		} else {
			s.Gaps = append(s.Gaps, now.Sub(previous))
		}
		s.Tokens++
		previous = now
	}
}
