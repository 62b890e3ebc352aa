package aubstandin

import (
	"encoding/json"
	"net/http"
)

// Paths of the API through which tests in other processes set the faults of a
// stand-in and read its statistics.
const (
	PathFaults = "/standin/v1/faults"
	PathStats  = "/standin/v1/stats"
	// PathConfirmations returns the number of confirmations of a plain service by request body.
	PathConfirmations = "/standin/v1/confirms"
)

// registerTestAPI adds the handlers that replace the faults and return the statistics.
func registerTestAPI(mux *http.ServeMux, faults *faultSet, stats func() Stats) {
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
			return
		}
		faults.set(f)
		writeJSON(w, f)
	})
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, stats())
	})
}
