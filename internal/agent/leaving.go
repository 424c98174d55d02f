package agent

// IsLeaving tells whether the agent has begun a graceful stop. It may be called from any goroutine.
func (a *Agent) IsLeaving() bool { return a.leaving.Load() }
