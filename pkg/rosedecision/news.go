package rosedecision

import "time"

// DefaultNewsBound is the bound of a NewsBudget that is given none.
const DefaultNewsBound = 5 * time.Second

// NewsBudget divides the time in which a change of the configuration has to be in force among
// the steps that bring it to a proxy, so that one call that isn't answered leaves enough for
// the next.
type NewsBudget struct {
	// Wait is how long a watch waits for a change. A watch only makes a change arrive sooner:
	// a read of the whole configuration follows each.
	Wait time.Duration
	// WatchMargin is how long the answer to a watch may take beyond its wait.
	WatchMargin time.Duration
	// ReadTimeout bounds the first read; it doubles after each one that failed, as the store
	// may be slow.
	ReadTimeout time.Duration
	// MaxAge is the age of news from another proxy from which on a proxy reads the store
	// itself.
	MaxAge time.Duration
	// ReaderMaxAge is that age for a proxy that the others of its zone rely on, so that it has
	// read before theirs is too old.
	ReaderMaxAge time.Duration
}

// Shares of the bound. A proxy that reads for itself notices a change within Wait, WatchMargin
// and ReadTimeout, one that hears of it within MaxAge and ReadTimeout. What is left is for the
// way of the last answer, and for the proxies that hear of a version to get it.
const (
	ownWaitShare     = 0.6
	sharedWaitShare  = 0.25
	watchMarginShare = 1. / 6
	readTimeoutShare = 1. / 8
	maxAgeShare      = 0.65
	readerAgeShare   = 0.45
)

// NewNewsBudget returns the budget for a bound; shared tells that other proxies rely on what
// this one reads.
func NewNewsBudget(bound time.Duration, shared bool) NewsBudget {
	if bound <= 0 {
		bound = DefaultNewsBound
	}
	share := func(part float64) time.Duration { return time.Duration(part * float64(bound)) }
	wait := share(ownWaitShare)
	if shared {
		wait = share(sharedWaitShare)
	}
	return NewsBudget{Wait: wait, WatchMargin: share(watchMarginShare), ReadTimeout: share(readTimeoutShare), MaxAge: share(maxAgeShare), ReaderMaxAge: share(readerAgeShare)}
}

// ReadTimeoutAfter returns the timeout of a read after a number of calls in a row that failed.
func (b NewsBudget) ReadTimeoutAfter(failures int, longest time.Duration) time.Duration {
	timeout := b.ReadTimeout
	for ; failures > 0 && timeout < longest; failures-- {
		timeout *= 2
	}
	return min(timeout, longest)
}
