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

// maxLine bounds one line of a stream in bytes.
const maxLine = 1 << 20

// Sample is what one caller saw.
type Sample struct {
	Target    int
	Workspace int
	// Status is the HTTP status; 0 when the connection failed.
	Status int
	// Code and Execution come from the problem document of a refusal.
	Code      string
	Execution aubapi.Execution
	// Whole is true when the answer came to its end.
	Whole bool
	// FirstToken and Total are counted from the moment the request was due.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between the pieces of a stream.
	Gaps   []time.Duration
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

// caller sends the requests of a trace.
type caller struct {
	timer aubtimer.Service
	http  *http.Client
}

// call sends one request and reads its answer.
func (c caller) call(ctx context.Context, url string, w Workspace, a Arrival, due time.Time) Sample {
	s := Sample{Workspace: a.Workspace}
	mix := w.Mix[a.Mix]
	body, err := json.Marshal(chatBody{
		Model: mix.Model, Stream: mix.Stream, MaxTokens: a.OutputTokens,
		Messages: []chatMessage{{Role: "user", Content: a.Prompt}},
	})
	if err != nil {
		return s
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return s
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+w.Key)
	resp, err := c.http.Do(r)
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	s.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		s.readProblem(resp.Body)
	case mix.Stream:
		c.readStream(resp.Body, &s, due)
	default:
		c.readWhole(resp.Body, &s, due)
	}
	s.Total = c.timer.Now().Sub(due)
	return s
}

func (s *Sample) readProblem(body io.Reader) {
	var p aubapi.Problem
	if json.NewDecoder(body).Decode(&p) == nil {
		s.Code, s.Execution = p.Error.Code, p.Execution
	}
}

func (c caller) readWhole(body io.Reader, s *Sample, due time.Time) {
	_, err := io.Copy(io.Discard, body)
	s.Whole = err == nil
	s.FirstToken = c.timer.Now().Sub(due)
}

func (c caller) readStream(body io.Reader, s *Sample, due time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	last := due
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.Whole = true
			continue
		}
		now := c.timer.Now()
		if s.Tokens == 0 {
			s.FirstToken = now.Sub(due)
		} else {
			s.Gaps = append(s.Gaps, now.Sub(last))
		}
		s.Tokens++
		last = now
	}
}
