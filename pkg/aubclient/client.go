// Package aubclient is a client of the administration API.
package aubclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// maxResponseBytes is the maximum size of a response of the administration API.
const maxResponseBytes = 64 << 20

// ClientOpts holds the parameters of a client.
type ClientOpts struct {
	// BaseURL is the address of the administration listener, such as http://127.0.0.1:9080.
	BaseURL string
	// Credential is the operator's bearer token.
	Credential string
	// HTTP is used to send the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// OnUnconfirmed is called when a response may be older than the control leader's
	// state; it may be nil.
	OnUnconfirmed func()
}

// Client calls the administration API. It is safe for concurrent use.
type Client struct {
	opts ClientOpts
}

// NewClient returns a client.
func NewClient(opts ClientOpts) *Client {
	opts.BaseURL = strings.TrimRight(opts.BaseURL, "/")
	if opts.HTTP == nil {
		opts.HTTP = http.DefaultClient
	}
	if opts.OnUnconfirmed == nil {
		opts.OnUnconfirmed = func() {}
	}
	return &Client{opts: opts}
}

// ApplyTicket sends the ticket and returns its outcome, also when it was not accepted.
// With a wait above zero it returns once every known process confirmed the new version
// or the wait has elapsed. Errors are of type *ProblemError or *UncertainError; after
// either, it is safe to send the same ticket again.
func (c *Client) ApplyTicket(ctx context.Context, t aubapi.Ticket, wait time.Duration) (aubapi.TicketOutcome, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return aubapi.TicketOutcome{}, &ProblemError{Problem: aubapi.Problem{Detail: err.Error(), Execution: aubapi.ExecutionNotRun}}
	}
	path := "tickets/" + strconv.FormatUint(t.Number, 10)
	if wait > 0 {
		path += "?wait=" + url.QueryEscape(wait.String())
	}
	return c.callTicket(ctx, http.MethodPut, path, body, t.Number)
}

// Ticket returns the recorded outcome of a ticket.
func (c *Client) Ticket(ctx context.Context, number uint64) (aubapi.TicketOutcome, error) {
	return c.callTicket(ctx, http.MethodGet, "tickets/"+strconv.FormatUint(number, 10), nil, number)
}

// callTicket sends a request about a ticket and returns the outcome, which must name the ticket.
func (c *Client) callTicket(ctx context.Context, method, path string, body []byte, number uint64) (aubapi.TicketOutcome, error) {
	var outcome aubapi.TicketOutcome
	if err := c.call(ctx, method, path, body, &outcome); err != nil {
		return aubapi.TicketOutcome{}, err
	}
	if outcome.Number != number {
		return aubapi.TicketOutcome{}, &UncertainError{Err: fmt.Errorf("outcome of ticket %d", outcome.Number)}
	}
	return outcome, nil
}

// Workspaces returns all workspaces in order of name.
func (c *Client) Workspaces(ctx context.Context) ([]aubapi.Workspace, error) {
	return get[[]aubapi.Workspace](ctx, c, "workspaces")
}

// Snapshot exports the complete replicated state.
func (c *Client) Snapshot(ctx context.Context) (aubapi.Snapshot, error) {
	return get[aubapi.Snapshot](ctx, c, "snapshot")
}

// Burn returns the instance's counts for its service-level objectives.
func (c *Client) Burn(ctx context.Context) (aubapi.BurnCounts, error) {
	return get[aubapi.BurnCounts](ctx, c, "burn")
}

// Models returns all models in order of name.
func (c *Client) Models(ctx context.Context) ([]aubapi.Model, error) {
	return get[[]aubapi.Model](ctx, c, "models")
}

// Adapters returns all adapters in order of name.
func (c *Client) Adapters(ctx context.Context) ([]aubapi.Adapter, error) {
	return get[[]aubapi.Adapter](ctx, c, "adapters")
}

// Routes returns all routes in order of name.
func (c *Client) Routes(ctx context.Context) ([]aubapi.Route, error) {
	return get[[]aubapi.Route](ctx, c, "routes")
}

// Keys returns the public fields of all keys, in order of name.
func (c *Client) Keys(ctx context.Context) ([]aubapi.KeyInfo, error) {
	return get[[]aubapi.KeyInfo](ctx, c, "keys")
}

// Version returns the version of the configuration.
func (c *Client) Version(ctx context.Context) (aubapi.ConfigVersion, error) {
	return get[aubapi.ConfigVersion](ctx, c, "version")
}

// Members returns the known processes: the live ones, then the lost ones, each in order
// of name.
func (c *Client) Members(ctx context.Context) ([]aubapi.Member, error) {
	return get[[]aubapi.Member](ctx, c, "members")
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var result T
	err := c.call(ctx, http.MethodGet, path, nil, &result)
	return result, err
}

// call sends a request and decodes the response into result.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.opts.BaseURL+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return &ProblemError{Problem: aubapi.Problem{Detail: err.Error(), Execution: aubapi.ExecutionNotRun}}
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Credential)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "application/json")
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return &UncertainError{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &UncertainError{Err: err}
	}
	if resp.Header.Get(aubapi.ConfirmedHeader) == "false" {
		c.opts.OnUnconfirmed()
	}
	return decodeResponse(resp, data, result)
}

func decodeResponse(resp *http.Response, data []byte, result any) error {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return decodeProblem(resp, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &UncertainError{Err: fmt.Errorf("status %d with an answer that is not of this API: %w", resp.StatusCode, err)}
	}
	return nil
}

func decodeProblem(resp *http.Response, data []byte) error {
	p := aubapi.Problem{Status: resp.StatusCode}
	if err := json.Unmarshal(data, &p); err != nil {
		return &UncertainError{Err: fmt.Errorf("status %d with a problem that can't be read: %w", resp.StatusCode, err)}
	}
	if seconds, err := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 64); err == nil {
		p.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &ProblemError{Problem: p}
}
