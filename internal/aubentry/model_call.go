package aubentry

import (
	"context"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubauth"
)

// callModel runs a generation or embedding request.
func (h *Handler) callModel(ctx context.Context, x *exchange) error {
	if err := allowMethods(x.r, http.MethodPost); err != nil {
		return err
	}
	w, err := h.authenticate(x)
	if err != nil {
		return err
	}
	data, f := readBody(x.w, x.r, h.bounds.MaxBody)
	if f != nil {
		return f
	}
	if f := refuseKey(x, data); f != nil {
		return f
	}
	body, f := parseModelBody(data)
	if f != nil {
		return f
	}
	t, err := resolveModel(h.parts.Config.Config(), w.Name, body.Model)
	if err != nil {
		return err
	}
	c, err := h.newModelCall(x, body, t)
	if err != nil {
		return err
	}
	c.workspace = w
	c.digest = digestOf(w.Name, c.method, c.path, c.body)
	return h.execute(ctx, x, c)
}

func (h *Handler) newModelCall(x *exchange, body modelBody, t target) (call, error) {
	maxTokens := h.outputBound(x.r.URL.Path, body, t)
	encoded, err := body.encode(maxTokens)
	if err != nil {
		return call{}, err
	}
	prompt := body.promptTokens(t.model.BytesPerToken)
	header := http.Header{"Content-Type": {"application/json"}, "Accept": x.r.Header.Values("Accept")}
	aubauth.NewStripper(x.r.Header, x.r.URL).StripHeader(header)
	return call{
		id:           x.id,
		group:        t.model.Name,
		model:        t.model.Name,
		adapter:      t.adapter,
		method:       http.MethodPost,
		path:         x.r.URL.Path,
		header:       header,
		body:         encoded,
		prefixes:     body.prefixes(),
		promptTokens: prompt,
		cost:         prompt + maxTokens*body.Choices,
		idempotent:   true,
		stream:       body.Stream,
		hideUsage:    body.Stream && !body.ShowUsage,
		deadline:     x.started.Add(h.bounds.RequestTimeout),
	}, nil
}

// outputBound returns the most tokens that one answer may generate.
func (h *Handler) outputBound(path string, body modelBody, t target) int64 {
	if path == pathEmbeddings {
		return 0
	}
	bound := t.model.MaxOutputTokens
	if bound == 0 {
		bound = h.bounds.DefaultOutputTokens
	}
	if body.MaxTokens > 0 {
		bound = min(bound, body.MaxTokens)
	}
	return bound
}
