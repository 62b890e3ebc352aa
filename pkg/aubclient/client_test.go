package aubclient_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/pkg/aubapi"
	"github.com/auburndale/auburndale/pkg/aubclient"
)

// TestOutcomeOfAnotherTicketIsNotBelieved guards against a ticket that counts as accepted by the response to another one.
func TestOutcomeOfAnotherTicketIsNotBelieved(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"number":1,"status":"accepted","version":1}`)
	}))
	defer server.Close()
	client := aubclient.NewClient(aubclient.ClientOpts{BaseURL: server.URL})
	outcome, err := client.ApplyTicket(t.Context(), aubapi.Ticket{Number: 1}, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, outcome.Status, qt.Equals, aubapi.TicketAccepted)
	_, err = client.Ticket(t.Context(), 2)
	qt.Check(t, isUncertain(err), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.ApplyTicket(t.Context(), aubapi.Ticket{Number: 2}, 0)
	qt.Check(t, isUncertain(err), qt.IsTrue, qt.Commentf("%v", err))
}

func isUncertain(err error) bool {
	var uncertain *aubclient.UncertainError
	return errors.As(err, &uncertain)
}
