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

// Headers of an echoed answer.
const (
	HeaderEchoMethod = "X-Echo-Method"
	HeaderEchoPath   = "X-Echo-Path"
	// HeaderEchoPrefix precedes the name of each request header.
	HeaderEchoPrefix = "X-Echo-Header-"
)

// ServiceOpts configures a stand-in plain service.
type ServiceOpts struct {
	Name string
	// OnCrash is called when a poison request ends the service.
	OnCrash func()
}

// Service is a stand-in roster service: paths that end in /confirm confirm a
// duty swap and may not be repeated, all others echo the call.
type Service struct {
	ctx    context.Context
	common aubcommon.Common
	opts   ServiceOpts
	mux    *http.ServeMux
	faults faultSet
	rec    *recorder

	mu       sync.Mutex
	crashed  bool
	confirms map[string]int
}

// NewService returns a plain service that ends with ctx.
func NewService(ctx context.Context, common aubcommon.Common, opts ServiceOpts) *Service {
	s := &Service{
		ctx:      ctx,
		common:   common.WithPart("standin"),
		opts:     opts,
		mux:      http.NewServeMux(),
		rec:      newRecorder(),
		confirms: make(map[string]int),
	}
	addControls(s.mux, &s.faults, s.Stats)
	s.mux.HandleFunc("GET "+PathConfirms, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.allConfirms()) })
	s.mux.HandleFunc("/", s.call)
	return s
}

// SetFaults replaces all fault switches.
func (s *Service) SetFaults(f Faults) { s.faults.set(f) }

// Stats returns the service's records.
func (s *Service) Stats() Stats { return s.rec.stats() }

// Confirms returns how often the swap with the given body was confirmed.
func (s *Service) Confirms(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirms[body]
}

func (s *Service) allConfirms() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.confirms)
}

// Crash ends the service until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	s.crashed = true
	s.mu.Unlock()
	s.rec.update(func(st *Stats) { st.Crashes++ })
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
}

// Restart brings the service back after a crash.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
}

// Handler returns the service's HTTP surface.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down() {
			hangUp(w)
		}
		s.mux.ServeHTTP(w, r)
	})
}

func (s *Service) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, aubengine.CodeInvalid, err.Error())
		return
	}
	id := r.Header.Get(aubengine.HeaderRequestID)
	s.rec.begin(id, s.common.Timer.Now())
	if poison := s.faults.get().PoisonPrompt; poison != "" && strings.Contains(string(body), poison) {
		s.Crash()
		hangUp(w)
	}
	plan := s.faults.nextDelivery()
	confirm := strings.HasSuffix(r.URL.Path, "/confirm")
	if confirm {
		body = s.confirm(body)
	}
	if wait(r.Context(), s.common.Timer, plan.delay) != nil {
		return
	}
	if plan.crossed {
		id = "another-" + id
	}
	w.Header().Set(aubengine.HeaderRequestID, id)
	if !confirm {
		echoHeaders(w, r)
	}
	s.transmit(w, r, body, plan)
}

// confirm executes the swap that the body describes.
func (s *Service) confirm(body []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirms[string(body)]++
	return []byte(`{"confirmed":"` + hex.EncodeToString(body) + `"}`)
}

func (s *Service) transmit(w http.ResponseWriter, r *http.Request, body []byte, plan delivery) {
	half := len(body) / 2
	flush := http.NewResponseController(w)
	if plan.silentAfter == 0 {
		<-r.Context().Done()
		return
	}
	if plan.cutAfter == 0 {
		hangUp(w)
	}
	// The connection may be gone; there is nobody to tell.
	_, _ = w.Write(body[:half])
	if plan.cutAfter > 0 || plan.silentAfter > 0 {
		_ = flush.Flush()
		if plan.silentAfter > 0 {
			<-r.Context().Done()
		}
		hangUp(w)
	}
	_, _ = w.Write(body[half:])
}

func echoHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderEchoMethod, r.Method)
	w.Header().Set(HeaderEchoPath, r.URL.RequestURI())
	for name, values := range r.Header {
		w.Header()[HeaderEchoPrefix+name] = values
	}
	if kind := r.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
}
