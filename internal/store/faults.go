package store

import (
	"context"
	"time"

	"google.golang.org/grpc/status"
)

// Faults are what goes wrong until it is set otherwise.
type Faults struct {
	Stall bool // nothing is taken in or answered, and leases do not end: their time goes on once the stall is over
	// Late is how long answers take on their way, after the work is done.
	Late time.Duration
	// Lost is how many of the next writes are done and then answered too late for anybody: the call ends with the client's patience.
	Lost int
	// Deaf watches are told nothing, and do not end.
	Deaf bool
}

// Fault sets what goes wrong from now on.
func (s *Store) Fault(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Stall && !f.Stall {
		close(s.stalled)
		s.stalled = make(chan struct{})
	}
	wake := s.faults.Deaf && !f.Deaf
	s.faults = f
	if wake {
		s.tell()
	}
}

// enter waits for a stall to end, then locks.
func (s *Store) enter(ctx context.Context) error {
	for {
		s.mu.Lock()
		if !s.faults.Stall {
			return nil
		}
		stalled := s.stalled
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-stalled:
		}
	}
}

// leave unlocks, and holds the answer back as the faults say.
func (s *Store) leave(ctx context.Context, wrote bool) error {
	late := s.faults.Late
	lost := wrote && s.faults.Lost > 0
	if lost {
		s.faults.Lost--
	}
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	return sleep(ctx, late)
}

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
