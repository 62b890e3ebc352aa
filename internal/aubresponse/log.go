package aubresponse

import (
	"errors"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Log logs and counts broken responses.
type Log struct {
	log      *zap.Logger
	counters map[Fault]tally.Counter
}

// NewLog returns a log of the component that common belongs to.
func NewLog(common aubcommon.Common) *Log {
	l := &Log{log: common.Log, counters: make(map[Fault]tally.Counter)}
	for _, fault := range Faults() {
		l.counters[fault] = common.Metrics.Tagged(map[string]string{"fault": string(fault)}).Counter("broken_responses")
	}
	return l
}

// Record logs and counts the response if the error is a *BrokenError; fields tell what it was the response to.
func (l *Log) Record(err error, fields ...zap.Field) {
	var broken *BrokenError
	if !errors.As(err, &broken) {
		return
	}
	l.counters[broken.Fault].Inc(1)
	l.log.Warn("Response is broken.", append([]zap.Field{zap.String("fault", string(broken.Fault)), zap.Error(err)}, fields...)...)
}
