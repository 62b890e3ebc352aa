package aubresume

import (
	"context"
	"slices"
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

// Coverage is how many of the known control processes gave answers that count.
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

// Answer joins the answers of the control processes to the question for an origin.
type Answer struct {
	// Origin is nil if none knows it.
	Origin *aubwire.StreamOrigin
	// Coverage counts the control processes that have confirmed their state since their start.
	// Another one may not yet know versions that were committed before.
	Coverage Coverage
	// Software holds the committed versions of the services that any of them stated.
	Software []*aubwire.SoftwareSeen
}

// Covers reports whether the answers suffice to tell the only software version of a service. A
// backend server of another version may be known only to a control process that did not answer,
// and so may be the origin of a stream whose caller names its begin.
func (a Answer) Covers(isBeginNamed bool) bool {
	return a.Coverage == CoverageAll || !isBeginNamed && a.Coverage == CoverageMajority
}

// SoleSoftware returns the software version of the service if the committed versions and those
// that this process has seen are exactly one.
func (a Answer) SoleSoftware(service string, own []string) (software string, ok bool) {
	versions := slices.Clone(own)
	for _, seen := range a.Software {
		if seen.GetService() == service {
			versions = append(versions, seen.GetSoftware())
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// FindFunc asks the control processes for the origin of a stream that began at one of the
// services. An empty ID is known to none.
type FindFunc func(ctx context.Context, callID string, services []string) Answer

// SeenFunc returns the software versions of a service that this process has seen for as long as
// streams are taken up.
type SeenFunc func(service string) []string

// Resolver finds the origins of streams.
type Resolver struct {
	common   aubcommon.Common
	recorder *Recorder
	find     FindFunc
	seen     SeenFunc
}

// NewResolver returns a resolver that looks into the recorder before it calls find. If no
// origin is found, a service with only one version tells it.
func NewResolver(common aubcommon.Common, recorder *Recorder, find FindFunc, seen SeenFunc) *Resolver {
	return &Resolver{common: common.WithPart("resume"), recorder: recorder, find: find, seen: seen}
}

// Record adds the origin of a stream that began at this instance.
func (r *Resolver) Record(callID string, origin Origin) { r.recorder.Record(callID, origin) }

// Resolve returns the origin of the stream that began with the call beganWith, empty if that
// is not known, at one of the services. The call requestID takes it up. The error is
// *UnknownError.
func (r *Resolver) Resolve(ctx context.Context, requestID, beganWith string, services []string) (Origin, error) {
	startedAt := r.common.Timer.Now()
	origin, source, answer := r.resolve(ctx, beganWith, services)
	isCovered := answer.Covers(beganWith != "")
	if source == sourceUnknown && isCovered && len(services) == 1 {
		if software, ok := answer.SoleSoftware(services[0], r.seen(services[0])); ok {
			origin, source = Origin{Service: services[0], Software: software}, sourceSole
		}
	}
	r.common.Metrics.Tagged(map[string]string{"source": source}).Counter("origins").Inc(1)
	r.common.Log.Info("Stream is taken up.",
		zap.String("request_id", requestID), zap.String("resumes", beganWith), zap.String("source", source),
		zap.String("service", origin.Service), zap.String("software", origin.Software),
		zap.Int("coverage", int(answer.Coverage)), zap.Int("committed_versions", len(answer.Software)), zap.Int64("elapsed_ms", r.common.Timer.Now().Sub(startedAt).Milliseconds()))
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

func (r *Resolver) resolve(ctx context.Context, beganWith string, services []string) (origin Origin, source string, answer Answer) {
	if origin, ok := r.recorder.Find(beganWith); ok {
		return origin, sourceOwn, Answer{}
	}
	ctx, cancel := aubtimer.WithTimeout(ctx, r.common.Timer, findTimeout)
	defer cancel()
	answer = r.find(ctx, beganWith, services)
	if answer.Origin == nil && beganWith != "" && aubtimer.Wait(ctx, r.common.Timer, findRetryDelay) == nil {
		first := answer
		answer = r.find(ctx, beganWith, services)
		answer.Software = append(answer.Software, first.Software...)
	}
	if answer.Origin == nil {
		return Origin{}, sourceUnknown, answer
	}
	return Origin{Service: answer.Origin.GetService(), Software: answer.Origin.GetSoftware()}, sourceControl, answer
}
