package target

import (
	"math"
	"sync"
	"time"
)

const (
	// maxStepTime bounds a sample of the step time; a longer one is a stall.
	maxStepTime = time.Second
	// maxStepSamples bounds the weight of earlier samples, so that the mean follows a
	// target that has changed.
	maxStepSamples = 10
	// sameSampleSpan is the difference in time up to which two samples count as the same
	// one, heard from several instances: each that passes it on makes it look later by the
	// time of its way.
	sameSampleSpan = 300 * time.Millisecond
	// stepTimeLifetime is the time after which what is known counts for 1/e, so that a
	// target that was slow is tried again.
	stepTimeLifetime = 30 * time.Second
)

// stepTimes holds the mean step time of a target. A step is the time between two
// events of a stream, in the usual pace of the target.
type stepTimes struct {
	mu      sync.Mutex
	logMean float64 // of the samples in seconds
	count   float64 // weight of the mean, in samples
	newest  time.Duration
	at      time.Time // of the newest sample
}

// RecordStepTime records a sample of the step time, measured here or by another
// instance.
func (l *LiveState) RecordStepTime(step time.Duration, at time.Time) {
	if step <= 0 {
		return
	}
	step = min(step, maxStepTime)
	s := &l.steps
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.at) < sameSampleSpan {
		return
	}
	s.count = min(s.weight(at)+1, maxStepSamples)
	s.newest, s.at = step, at
	s.logMean += (math.Log(step.Seconds()) - s.logMean) / s.count
}

// StepTime returns the mean step time and its weight in samples, which falls with
// its age.
func (l *LiveState) StepTime(now time.Time) (mean time.Duration, samples float64) {
	s := &l.steps
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 {
		return 0, 0
	}
	return time.Duration(math.Exp(s.logMean) * float64(time.Second)), s.weight(now)
}

// weight returns the weight of the mean in samples. The caller holds mu.
func (s *stepTimes) weight(now time.Time) float64 {
	age := max(0, now.Sub(s.at))
	return s.count * math.Exp(-float64(age)/float64(stepTimeLifetime))
}

// NewestStepTime returns the newest sample and its time, which is zero if there is none.
func (l *LiveState) NewestStepTime() (time.Duration, time.Time) {
	s := &l.steps
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.at
}
