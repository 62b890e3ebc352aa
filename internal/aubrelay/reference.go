package aubrelay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// refusalMeanings describes the refusal codes for the reference page, in its order.
var refusalMeanings = []struct {
	code    RefusalCode
	status  int
	meaning string
}{
	{CodeNoConfiguration, http.StatusServiceUnavailable, "The instance has no configuration yet."},
	{CodeOutdatedConfiguration, http.StatusServiceUnavailable, "A newer configuration than that of the instance is in force, or may be."},
	{CodeInvalidRequest, http.StatusBadRequest, "The headers of the request can't be read."},
	{CodeNoRoute, http.StatusNotFound, "No route matches host and path."},
	{CodeInvalidKey, http.StatusUnauthorized, "The key is missing or not valid."},
	{CodeBodyTooLarge, http.StatusRequestEntityTooLarge, "The request body is larger than allowed."},
	{CodeBodyTimeout, http.StatusRequestTimeout, "The request body did not arrive before the deadline of the request."},
	{CodeMemoryExhausted, http.StatusServiceUnavailable, "Requests hold all memory that the instance has for them."},
	{CodeRateLimited, http.StatusTooManyRequests, "The workspace is over its rate."},
	{CodeNoBackend, http.StatusServiceUnavailable, "No backend server can run the request now."},
	{CodeNoAllowedRegion, http.StatusServiceUnavailable, "The regions that route and workspace allow have none in common, or hold no backend server of the service."},
	{CodeShuttingDown, http.StatusServiceUnavailable, "The instance shuts down before the request could end."},
	{CodeEndedAtShutdown, http.StatusGatewayTimeout, "The instance shut down while a backend server may have run the request."},
	{CodeBackendFailed, http.StatusBadGateway, "The backend server failed while it may have run the request."},
	{CodeTimeout, http.StatusGatewayTimeout, "The deadline passed while a backend server may have run the request."},
	{CodeBlocked, http.StatusServiceUnavailable, "The request or a part of its prompt was in flight when backend servers crashed."},
	{CodeUnknownStream, http.StatusServiceUnavailable, "The software version of the stream that the request takes up is not known."},
	{CodeBackendLimited, http.StatusServiceUnavailable, "The rate limits of all backend servers that could run the request are reached."},
	{CodeObjectiveUnreachable, http.StatusServiceUnavailable, "The best backend server is expected to answer after the request's objective, or too many requests wait at the instance."},
}

// WriteRefusalReference writes a table of all refusals of a relay as Markdown.
func WriteRefusalReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString("\n## Relays of the users' platform\n\nThe body of a refusal is `{\"error\": CODE}`. `backend_failed`, `timeout` and `ended_at_shutdown` may have run, all others did not.\n\n")
	b.WriteString("| code | status | meaning |\n|---|---|---|\n")
	for _, r := range refusalMeanings {
		fmt.Fprintf(&b, "| `%s` | %d | %s |\n", r.code, r.status, r.meaning)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
