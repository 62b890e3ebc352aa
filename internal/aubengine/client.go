package aubengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubresponse"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	defaultQueryTimeout = 2 * time.Second
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 256
	maxResponseBytes    = 4 << 20
)

// ClientOpts configures a client.
type ClientOpts struct {
	// URL is the base URL of the backend server, such as http://127.0.0.1:9000.
	URL string
	// Timeout limits one order or query; 0 means 2 s. Do and ResumeAnswer have
	// no timeout of their own.
	Timeout time.Duration
}

// Client is an HTTP client of one backend server.
type Client struct {
	ctx     context.Context
	timer   aubtimer.Service
	url     string
	timeout time.Duration
	// pooled reuses connections whose last response was read to its end.
	pooled *aubresponse.RoundTripper
	// singleUse opens a connection for each request, so that net/http never sends
	// a request again by itself, whatever its method and headers, and no copy of an
	// earlier response arrives.
	singleUse *aubresponse.RoundTripper
}

// NewClient returns a client of one backend server. After ctx has ended it keeps no
// connection between calls.
func NewClient(ctx context.Context, common aubcommon.Common, opts ClientOpts) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultQueryTimeout
	}
	broken := aubresponse.NewLog(common)
	c := &Client{
		ctx:       ctx,
		timer:     common.Timer,
		url:       opts.URL,
		timeout:   opts.Timeout,
		pooled:    aubresponse.NewRoundTripper(newTransport(ctx, false), broken, HeaderRequestID),
		singleUse: aubresponse.NewRoundTripper(newTransport(context.WithoutCancel(ctx), true), broken, HeaderRequestID),
	}
	context.AfterFunc(ctx, c.pooled.CloseIdleConnections)
	return c
}

// newTransport returns a transport that opens no connection after ctx has ended. A dial may
// take longer than the call that it was begun for; net/http keeps its connection then.
func newTransport(ctx context.Context, singleUse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(dialCtx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(dialCtx, network, address)
		if err == nil && ctx.Err() != nil {
			return nil, errors.Join(ctx.Err(), conn.Close())
		}
		return conn, err
	}
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		DisableKeepAlives:   singleUse,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: aubheader.MaxResponseBytes,
	}
}

// Call is one request to the backend server.
type Call struct {
	Method string
	// Path includes the raw query.
	Path   string
	Header http.Header
	Body   []byte
	// NoRetry opens a connection for the request, so that net/http does not send it a second time by itself.
	NoRetry bool
}

// Do sends one request and returns the response with its body unread. Errors are
// *NotSentError if no connection was available, *UncertainError otherwise.
// Closing the body before its end also closes the connection.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	resp, err := c.transport(call).RoundTrip(req)
	if err != nil {
		c.closeIdleIfEnded()
	}
	if err == nil {
		resp.Body = &responseBody{ReadCloser: resp.Body, client: c}
		return resp, nil
	}
	if !gotConn.Load() {
		return nil, &NotSentError{Err: err}
	}
	return nil, &UncertainError{Err: err}
}

// responseBody closes the connection that its end has made idle if the client has ended
// meanwhile.
type responseBody struct {
	io.ReadCloser

	client *Client
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.client.closeIdleIfEnded()
	return err
}

// closeIdleIfEnded closes the idle connections once more if the client has ended: a call that
// was in progress then lets net/http keep connections again.
func (c *Client) closeIdleIfEnded() {
	if c.ctx.Err() != nil {
		c.pooled.CloseIdleConnections()
	}
}

// transport returns the one that keeps no connection for calls that must not be repeated or
// come after the end of the client.
func (c *Client) transport(call Call) *aubresponse.RoundTripper {
	if call.NoRetry || c.ctx.Err() != nil {
		return c.singleUse
	}
	return c.pooled
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header
	}
	return req, nil
}

// Load sends an order to load an item.
func (c *Client) Load(ctx context.Context, order Order) error {
	return c.sendOrder(ctx, PathLoad, order)
}

// Unload sends an order to unload an item; an absent item is no error.
func (c *Client) Unload(ctx context.Context, order Order) error {
	return c.sendOrder(ctx, PathUnload, order)
}

// RaiseFence raises the lowest fencing number that the engine accepts.
func (c *Client) RaiseFence(ctx context.Context, order Order) error {
	return c.sendOrder(ctx, PathFence, order)
}

// State queries the boot ID, the fencing number and the memory contents of the engine.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.doJSON(ctx, Call{Method: http.MethodGet, Path: PathState}, &state)
	return state, err
}

// LoadReport queries the load of the engine.
func (c *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.doJSON(ctx, Call{Method: http.MethodGet, Path: PathLoadReport}, &report)
	return report, err
}

// AnswerStatus queries the progress of an answer.
func (c *Client) AnswerStatus(ctx context.Context, answerID string) (AnswerStatus, error) {
	var status AnswerStatus
	path := PathAnswers + url.PathEscape(answerID) + "/status"
	err := c.doJSON(ctx, Call{Method: http.MethodGet, Path: path}, &status)
	return status, err
}

// AbortAnswer stops the generation of an answer.
func (c *Client) AbortAnswer(ctx context.Context, answerID string) error {
	path := PathAnswers + url.PathEscape(answerID)
	return c.doJSON(ctx, Call{Method: http.MethodDelete, Path: path}, nil)
}

// ResumeAnswer continues an answer from the event at offset, on a new connection.
func (c *Client) ResumeAnswer(ctx context.Context, answerID string, offset int) (*http.Response, error) {
	path := PathAnswers + url.PathEscape(answerID) + "?offset=" + strconv.Itoa(offset)
	resp, err := c.Do(ctx, Call{Method: http.MethodGet, Path: path, NoRetry: true})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readErrorResponse(resp)
	}
	return resp, nil
}

// sendOrder sends an order at most once.
func (c *Client) sendOrder(ctx context.Context, path string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &NotSentError{Err: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	call := Call{Method: http.MethodPost, Path: path, Header: header, Body: body}
	return c.doJSON(ctx, call, nil)
}

// doJSON sends a call within the client's timeout and decodes its JSON response;
// a nil response skips decoding. These responses name no request, so each has a connection
// of its own, on which no copy of another response arrives.
func (c *Client) doJSON(ctx context.Context, call Call, response any) error {
	ctx, cancel := aubtimer.WithTimeout(ctx, c.timer, c.timeout)
	defer cancel()
	call.NoRetry = true
	resp, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readErrorResponse(resp)
	}
	body, err := aubresponse.ReadWhole(resp.Body, maxResponseBytes)
	if err != nil {
		return &UncertainError{Err: err}
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(body, response); err != nil {
		return &UncertainError{Err: err}
	}
	return nil
}

// readErrorResponse converts a response without a result into *RefusedError if its status is that of
// a client's error, else into *UncertainError: only such a status means that the engine executed nothing.
func readErrorResponse(resp *http.Response) error {
	body, err := aubresponse.ReadWhole(resp.Body, maxResponseBytes)
	if err != nil {
		return &UncertainError{Err: err}
	}
	var envelope ErrorBody
	if err := json.Unmarshal(body, &envelope); err != nil {
		envelope.Error.Message = "answer is no error document"
	}
	refusedErr := &RefusedError{
		Status: resp.StatusCode,
		Code:   envelope.Error.Code,
		Detail: envelope.Error.Message,
	}
	if resp.StatusCode < http.StatusBadRequest || resp.StatusCode >= http.StatusInternalServerError {
		return &UncertainError{Err: refusedErr}
	}
	return refusedErr
}
