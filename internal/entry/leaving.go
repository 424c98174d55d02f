package entry

import (
	"maps"
	"time"
)

// leavingFor is how long an agent that said that it is leaving is not asked again. Later its
// instance may hold another process; a process that is still leaving refuses.
const leavingFor = 5 * time.Second

// leavingMark is an agent's word that it is leaving.
type leavingMark struct {
	incarnation uint64
	at          time.Time
}

// forgetLeaving drops old marks, so that an agent that was restarted in its place is asked again:
// there is no connection on which it could say that it is not leaving. The mutex is held.
func (r *replicas) forgetLeaving(now time.Time) {
	maps.DeleteFunc(r.leaving, func(_ string, mark leavingMark) bool {
		return now.Sub(mark.at) >= leavingFor
	})
}
