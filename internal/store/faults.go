package store

import (
	"context"
	"time"

	"google.golang.org/grpc/status"
)

// Faults selects the faults that the store injects.
type Faults struct {
	Stall bool // no request is processed or answered, and no lease expires: the time of a stall does not count for leases
	// ResponseDelay is the delay of each response and notification, after the request was processed.
	ResponseDelay time.Duration
	// LostWriteResponses is the number of coming writes and lease requests that are processed but never answered. Each of these requests
	// ends when its client cancels it or times out.
	LostWriteResponses int
	// MuteWatches stops all notifications to watches, which stay open.
	MuteWatches bool
}

// SetFaults replaces the injected faults. Notifications to watches that were held back are sent when that fault ends.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Stall && !f.Stall {
		close(s.stallEnded)
		s.stallEnded = make(chan struct{})
	}
	resume := s.faults.MuteWatches && !f.MuteWatches
	s.faults = f
	if resume {
		s.notifyWatches()
	}
}

// lock waits for a stall to end and takes the lock. It fails, without the lock, if the context ends first.
func (s *Store) lock(ctx context.Context) error {
	for {
		s.mu.Lock()
		if !s.faults.Stall {
			return nil
		}
		stallEnded := s.stallEnded
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-stallEnded:
		}
	}
}

// unlock releases the lock and delays the response as Faults demands. It returns an error if the response must not be sent.
func (s *Store) unlock(ctx context.Context, wrote bool) error {
	delay := s.faults.ResponseDelay
	lost := wrote && s.faults.LostWriteResponses > 0
	if lost {
		s.faults.LostWriteResponses--
	}
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	return sleep(ctx, delay)
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-time.After(d):
		return nil
	}
}
