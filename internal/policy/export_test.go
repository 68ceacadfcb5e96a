package policy

// Len returns the number of parts with reports.
func (c *CrashSuspects) Len() int { return len(c.suspects) }
