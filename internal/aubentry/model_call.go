package aubentry

import (
	"context"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubpoison"
)

// callModel runs a generation or embedding request.
func (h *Handler) callModel(ctx context.Context, ex *exchange) error {
	if err := requireMethod(ex.request, http.MethodPost); err != nil {
		return err
	}
	workspace, err := h.authenticate(ex)
	if err != nil {
		return err
	}
	data, refused := readBody(ex.writer, ex.request, h.bounds.MaxBodyBytes)
	if refused != nil {
		return refused
	}
	if refused := refuseExposedKey(ex, data); refused != nil {
		return refused
	}
	if refused := chargeDecoding(ex.request, data); refused != nil {
		return refused
	}
	body, refused := parseModelBody(data)
	if refused != nil {
		return refused
	}
	resolved, err := resolveModel(h.deps.Config.Config(), workspace.Name, body.Model)
	if err != nil {
		return err
	}
	c, err := h.newModelCall(ex, body, resolved)
	if err != nil {
		return err
	}
	c.workspace = workspace
	c.digest = aubpoison.RequestDigest(workspace.Name, c.method, c.path, c.body)
	return h.execute(ctx, ex, c)
}

// newModelCall returns the call for a model request. The caller sets its workspace
// and digest.
func (h *Handler) newModelCall(ex *exchange, body modelBody, resolved resolvedModel) (call, error) {
	maxTokens := h.outputBound(ex.request.URL.Path, body, resolved)
	encoded, err := body.encode(maxTokens)
	if err != nil {
		return call{}, err
	}
	promptTokens := body.promptTokens(resolved.model.BytesPerToken)
	header := http.Header{"Content-Type": {"application/json"}, "Accept": ex.request.Header.Values("Accept")}
	aubauth.NewStripper(ex.request.Header, ex.request.URL).StripHeader(header)
	return call{
		id:           ex.id,
		group:        resolved.model.Name,
		model:        resolved.model.Name,
		adapter:      resolved.adapter,
		method:       http.MethodPost,
		path:         ex.request.URL.Path,
		header:       header,
		body:         encoded,
		prefixHashes: body.prefixHashes(),
		parts:        body.partFingerprints,
		promptTokens: promptTokens,
		cost:         promptTokens + maxTokens*body.Choices,
		idempotent:   true,
		stream:       body.Stream,
		hideUsage:    body.Stream && !body.IncludeUsage,
		deadline:     ex.arrivedAt.Add(h.bounds.RequestTimeout),
	}, nil
}

// outputBound returns the maximum number of output tokens of one choice; 0 for
// embeddings, which have none.
func (h *Handler) outputBound(path string, body modelBody, resolved resolvedModel) int64 {
	if path == pathEmbeddings {
		return 0
	}
	bound := resolved.model.MaxOutputTokens
	if bound == 0 {
		bound = h.bounds.DefaultOutputTokens
	}
	if body.MaxTokens > 0 {
		bound = min(bound, body.MaxTokens)
	}
	return bound
}
