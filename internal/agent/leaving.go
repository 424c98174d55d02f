package agent

// IsLeaving reports whether the agent has started a graceful stop. It may be called from any goroutine.
func (a *Agent) IsLeaving() bool { return a.leaving.Load() }
