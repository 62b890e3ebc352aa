package aublimit_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aublimit"
)

func TestSyncErrorNamesItsCauseIfItHasOne(t *testing.T) {
	withCause := &aublimit.SyncError{Detail: "reply not decoded", Err: errors.New("cut short")}
	qt.Assert(t, withCause.Error(), qt.Equals, "limits not synced: reply not decoded: cut short")
	withoutCause := &aublimit.SyncError{Detail: "limiter stopped"}
	qt.Assert(t, withoutCause.Error(), qt.Equals, "limits not synced: limiter stopped")
}
