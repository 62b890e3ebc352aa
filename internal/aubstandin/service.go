package aubstandin

import (
	"context"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
)

// Headers of an echo response.
const (
	HeaderEchoMethod = "X-Echo-Method"
	HeaderEchoPath   = "X-Echo-Path"
	// HeaderEchoPrefix is the prefix of the name of each echoed request header.
	HeaderEchoPrefix = "X-Echo-Header-"
)

// ServiceOpts configures a stand-in plain service.
type ServiceOpts struct {
	Name string
	// OnCrash is called after each crash, such as one caused by a poison request.
	OnCrash func()
}

// Service is a stand-in plain service in the role of a duty roster. A request to
// a path that ends in /confirm confirms a duty swap and must not be executed
// twice; any other request is echoed.
type Service struct {
	ctx      context.Context
	common   aubcommon.Common
	opts     ServiceOpts
	mux      *http.ServeMux
	faults   faultSet
	recorder *statsRecorder

	mu      sync.Mutex
	crashed bool
	// confirmations counts the confirmed swaps by request body.
	confirmations map[string]int
}

// NewService returns a running plain service.
func NewService(ctx context.Context, common aubcommon.Common, opts ServiceOpts) *Service {
	s := &Service{
		ctx:           ctx,
		common:        common.WithPart("standin"),
		opts:          opts,
		mux:           http.NewServeMux(),
		recorder:      newStatsRecorder(),
		confirmations: make(map[string]int),
	}
	registerTestAPI(s.mux, &s.faults, s.Stats)
	s.mux.HandleFunc("GET "+PathConfirmations, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.allConfirmations()) })
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f Faults) { s.faults.set(f) }

// Stats returns the statistics of the service.
func (s *Service) Stats() Stats { return s.recorder.snapshot() }

// Confirmations returns how often the swap with the given body was confirmed.
func (s *Service) Confirmations(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations[body]
}

func (s *Service) allConfirmations() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.confirmations)
}

// Crash makes the service abort every connection until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	s.crashed = true
	s.mu.Unlock()
	s.recorder.update(func(st *Stats) { st.Crashes++ })
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
}

// Restart ends a crash.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
}

// Handler returns the HTTP handler of the service. While the service is
// crashed, it aborts every connection.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCrashed() {
			abortConnection(w)
		}
		s.mux.ServeHTTP(w, r)
	})
}

func (s *Service) isCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, aubengine.CodeInvalidRequest, err.Error())
		return
	}
	id := r.Header.Get(aubengine.HeaderRequestID)
	if s.faults.refuseForQuiet(w) {
		return
	}
	s.recorder.recordExecution(id, s.common.Timer.Now())
	if poison := s.faults.get().PoisonPrompt; poison != "" && strings.Contains(string(body), poison) {
		s.Crash()
		abortConnection(w)
	}
	faults := s.faults.nextResponseFaults()
	isConfirmation := strings.HasSuffix(r.URL.Path, "/confirm")
	if isConfirmation {
		body = s.confirmSwap(body)
	}
	if wait(r.Context(), s.common.Timer, faults.delay) != nil {
		return
	}
	if faults.swapped {
		id = "another-" + id
	}
	w.Header().Set(aubengine.HeaderRequestID, id)
	s.faults.setRateLimit(w.Header())
	if !isConfirmation {
		echoHeaders(w, r)
	}
	s.transmitBody(w, r, body, faults)
}

// confirmSwap confirms the swap that the body describes and returns the response body.
func (s *Service) confirmSwap(body []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations[string(body)]++
	return []byte(`{"confirmed":"` + hex.EncodeToString(body) + `"}`)
}

// transmitBody sends a body. A cut or silent fault takes effect before the body if it
// is set to occur after 0 events, otherwise in the middle of the body.
func (s *Service) transmitBody(w http.ResponseWriter, r *http.Request, body []byte, faults responseFaults) {
	half := len(body) / 2
	controller := http.NewResponseController(w)
	if faults.silentAfterEvents == 0 {
		<-r.Context().Done()
		return
	}
	if faults.cutAfterEvents == 0 {
		abortConnection(w)
	}
	// A write fails only if the client has disconnected.
	_, _ = w.Write(body[:half])
	if faults.cutAfterEvents > 0 || faults.silentAfterEvents > 0 {
		_ = controller.Flush()
		if faults.silentAfterEvents > 0 {
			<-r.Context().Done()
		}
		abortConnection(w)
	}
	_, _ = w.Write(body[half:])
}

// echoHeaders copies the method, the URI and the headers of the request into the response.
func echoHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderEchoMethod, r.Method)
	w.Header().Set(HeaderEchoPath, r.URL.RequestURI())
	for name, values := range r.Header {
		w.Header()[HeaderEchoPrefix+name] = values
	}
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
}
