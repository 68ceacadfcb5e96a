package quotanet

import (
	"sync"
	"time"
)

// linePeriod is the shortest time between two log lines of one class.
const linePeriod = time.Second

// A lineLimit bounds the log lines of each class. The zero value is ready to use.
type lineLimit struct {
	classes map[string]*lineClass
	mutex   sync.Mutex
}

// A lineClass is the state of one class of log lines.
type lineClass struct {
	last    time.Time
	skipped int // since last
}

// allow reports whether a line of the class may be written, and how many were not since
// the last one.
func (l *lineLimit) allow(now time.Time, class string) (skipped int, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.classes[class]
	if c == nil {
		if l.classes == nil {
			l.classes = make(map[string]*lineClass)
		}
		c = &lineClass{}
		l.classes[class] = c
	}
	if !c.last.IsZero() && now.Sub(c.last) < linePeriod {
		c.skipped++
		return 0, false
	}
	skipped, c.last, c.skipped = c.skipped, now, 0
	return skipped, true
}
