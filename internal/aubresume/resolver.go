package aubresume

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// findTimeout limits the search for one origin, findRetryDelay is the time to the second
	// search: a report may be on its way.
	findTimeout    = 200 * time.Millisecond
	findRetryDelay = 40 * time.Millisecond
	// unreachableRetryAfter is the advised time to retry while a control process that may
	// know the origin can't be asked.
	unreachableRetryAfter = 500 * time.Millisecond
)

// UnknownError means that nobody who was asked knows where a stream began.
type UnknownError struct {
	CallID string
	// RetryAfter is the time after which another process may be asked; 0 if all were.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "software version of the stream that began with request " + e.CallID + " is not known"
}

// Coverage is how many of the known control processes answered.
type Coverage int

// Coverages.
const (
	CoverageMinority Coverage = iota
	CoverageMajority
	CoverageAll
)

// NewCoverage returns the coverage of the answers of some of all control processes.
func NewCoverage(answered, all int) Coverage {
	switch {
	case answered > 0 && answered == all:
		return CoverageAll
	case 2*answered > all:
		return CoverageMajority
	default:
		return CoverageMinority
	}
}

// FindFunc asks the control processes for an origin and returns nil if none that answered
// knows it. An empty ID is known to none.
type FindFunc func(ctx context.Context, callID string) (*aubwire.StreamOrigin, Coverage)

// SoleFunc returns the software version of a service whose backend servers have all had the
// same one for as long as streams are taken up; false if there are several.
type SoleFunc func(service string) (software string, ok bool)

// Resolver finds the origins of streams.
type Resolver struct {
	common   aubcommon.Common
	recorder *Recorder
	find     FindFunc
	sole     SoleFunc
}

// NewResolver returns a resolver that looks into the recorder before it calls find. If no
// origin is found, sole may tell the only possible one.
func NewResolver(common aubcommon.Common, recorder *Recorder, find FindFunc, sole SoleFunc) *Resolver {
	return &Resolver{common: common.WithPart("resume"), recorder: recorder, find: find, sole: sole}
}

// Record adds the origin of a stream that began at this instance.
func (r *Resolver) Record(callID string, origin Origin) { r.recorder.Record(callID, origin) }

// Resolve returns the origin of the stream that began with the call beganWith, empty if that
// is not known, at one of the services. The call requestID takes it up. The error is
// *UnknownError.
func (r *Resolver) Resolve(ctx context.Context, requestID, beganWith string, services []string) (Origin, error) {
	startedAt := r.common.Timer.Now()
	origin, source, coverage := r.resolve(ctx, beganWith)
	// A backend server of another version may be known only to a control process that did not
	// answer, and so may be the origin of a stream whose caller names its begin.
	isCovered := coverage == CoverageAll || beganWith == "" && coverage == CoverageMajority
	if source == sourceUnknown && isCovered && len(services) == 1 {
		if software, ok := r.sole(services[0]); ok {
			origin, source = Origin{Service: services[0], Software: software}, sourceSole
		}
	}
	r.common.Metrics.Tagged(map[string]string{"source": source}).Counter("origins").Inc(1)
	r.common.Log.Info("Stream is taken up.",
		zap.String("request_id", requestID), zap.String("resumes", beganWith), zap.String("source", source),
		zap.String("service", origin.Service), zap.String("software", origin.Software),
		zap.Int("coverage", int(coverage)), zap.Int64("elapsed_ms", r.common.Timer.Now().Sub(startedAt).Milliseconds()))
	if source != sourceUnknown {
		return origin, nil
	}
	err := &UnknownError{CallID: beganWith}
	if !isCovered {
		err.RetryAfter = unreachableRetryAfter
	}
	return Origin{}, err
}

// Sources of an origin in logs and metrics.
const (
	sourceOwn     = "own"
	sourceControl = "control"
	sourceSole    = "sole_version"
	sourceUnknown = "unknown"
)

func (r *Resolver) resolve(ctx context.Context, beganWith string) (origin Origin, source string, coverage Coverage) {
	if origin, ok := r.recorder.Find(beganWith); ok {
		return origin, sourceOwn, CoverageMinority
	}
	ctx, cancel := aubtimer.WithTimeout(ctx, r.common.Timer, findTimeout)
	defer cancel()
	found, coverage := r.find(ctx, beganWith)
	if found == nil && beganWith != "" && aubtimer.Wait(ctx, r.common.Timer, findRetryDelay) == nil {
		found, coverage = r.find(ctx, beganWith)
	}
	if found == nil {
		return Origin{}, sourceUnknown, coverage
	}
	return Origin{Service: found.GetService(), Software: found.GetSoftware()}, sourceControl, coverage
}
