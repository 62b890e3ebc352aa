package aubadmin

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	problemTypePrefix = "urn:auburndale:problem:"
	yamlIndent        = 2
)

// problem describes why a request was refused or failed.
type problem struct {
	status int
	code   string
	detail string
	// execution states whether the request may have taken effect.
	execution  aubapi.Execution
	retryAfter time.Duration
}

// writeProblem responds with a problem document. The execution defaults to not run.
func writeProblem(w http.ResponseWriter, p problem) {
	if p.execution == "" {
		p.execution = aubapi.ExecutionNotRun
	}
	if p.retryAfter > 0 {
		seconds := int64(math.Ceil(p.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.status)
	writeJSON(w, aubapi.Problem{
		Type:       problemTypePrefix + p.code,
		Title:      http.StatusText(p.status),
		Status:     p.status,
		Detail:     p.detail,
		Execution:  p.execution,
		RetryAfter: p.retryAfter,
		Error:      aubapi.ErrorBody{Message: p.detail, Type: "administration_error", Code: p.code},
	})
}

// writeResponse responds in YAML when the caller accepts that, else in JSON.
func writeResponse(w http.ResponseWriter, r *http.Request, status int, body any) {
	if strings.Contains(r.Header.Get("Accept"), "yaml") {
		w.Header().Set("Content-Type", "application/yaml")
		w.WriteHeader(status)
		writeYAML(w, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	writeJSON(w, body)
}

// writeJSON writes the body. It ignores a failed write, as the caller has then
// disconnected.
func writeJSON(w http.ResponseWriter, body any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

func writeYAML(w http.ResponseWriter, body any) {
	var buf bytes.Buffer
	encoder := yaml.NewEncoder(&buf)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(body); err != nil {
		return
	}
	_, _ = w.Write(buf.Bytes())
}
