package aubstandin

import (
	"encoding/json"
	"net/http"
)

// Paths by which tests in other processes reach a stand-in's switches and records.
const (
	PathFaults = "/standin/v1/faults"
	PathStats  = "/standin/v1/stats"
	// PathConfirms counts a plain service's confirmations by their body.
	PathConfirms = "/standin/v1/confirms"
)

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
