package membership

import (
	"cmp"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Table holds the instances of some roles.
//
// Invariant: an instance that said that it is leaving is not open before LeavingFor has passed or
// another incarnation has spoken, whatever the list shows.
type Table struct {
	roles   []metastore.Role
	members map[string]*member
	readAt  time.Time
}

// New returns an empty Table for instances of the given roles.
func New(roles ...metastore.Role) *Table {
	return &Table{roles: roles, members: make(map[string]*member)}
}

// Listed takes the instance list as it was read at now. Instances that it no longer shows stay
// while they are heard. A list that shows none of the known instances, as one that has just
// started does, is no evidence against them.
func (t *Table) Listed(now time.Time, instances []metastore.Instance) {
	t.readAt = now
	if !t.showsAny(instances) && t.heardLately(now) {
		return
	}
	for _, instance := range instances {
		if slices.Contains(t.roles, instance.Role) {
			t.list(now, instance)
		}
	}
	t.forget(now)
}

// showsAny reports whether the list has a row of the table's roles.
func (t *Table) showsAny(instances []metastore.Instance) bool {
	return slices.ContainsFunc(instances, func(i metastore.Instance) bool { return slices.Contains(t.roles, i.Role) })
}

func (t *Table) heardLately(now time.Time) bool {
	for _, m := range t.members {
		if now.Sub(m.heard) < UnlistedFor {
			return true
		}
	}
	return false
}

func (t *Table) list(now time.Time, instance metastore.Instance) {
	m := t.members[instance.ID]
	if m == nil {
		m = &member{state: instanceChart.Initial(), since: now}
		t.members[instance.ID] = m
	}
	m.instance = instance
	m.listed = now
	if instance.State == metastore.InstanceLeaving {
		m.fire(now, eventListedLeaving)
	}
}

// forget drops the instances that neither the list nor they themselves vouch for.
func (t *Table) forget(now time.Time) {
	for id, m := range t.members {
		if m.listed.Equal(t.readAt) || now.Sub(m.heard) < UnlistedFor {
			continue
		}
		m.fire(now, eventForgotten)
		delete(t.members, id)
	}
}

// Heard takes direct evidence. It reports whether the instance may now be used differently.
// Evidence about an instance that was never listed is ignored: its addresses are not known.
func (t *Table) Heard(now time.Time, e Evidence) bool {
	m := t.members[e.Instance]
	if m == nil {
		return false
	}
	before := instanceChart.Label(m.state)
	t.takeIncarnation(now, m, e)
	m.heard = now
	m.configVersion = max(m.configVersion, e.ConfigVersion)
	if e.WeightVersion != "" {
		m.weightVersion = e.WeightVersion
	}
	if e.Leaving {
		m.fire(now, eventHeardLeaving)
		m.since = now
	} else {
		m.fire(now, eventHeard)
	}
	return instanceChart.Label(m.state) != before
}

// takeIncarnation notes that another process speaks for the instance. The first one that is heard
// replaces none.
func (t *Table) takeIncarnation(now time.Time, m *member, e Evidence) {
	if m.incarnation == e.Incarnation {
		return
	}
	if m.incarnation != 0 {
		m.configVersion, m.weightVersion = 0, ""
		if !e.Leaving {
			m.fire(now, eventReplaced)
		}
	}
	m.incarnation = e.Incarnation
}

// Failed takes the loss of contact with an instance. It reports whether the instance may now be
// used differently.
func (t *Table) Failed(now time.Time, instance string) bool {
	m := t.members[instance]
	if m == nil {
		return false
	}
	changed := m.fire(now, eventFailed)
	if m.state == stateSuspect {
		m.since = now
	}
	return changed
}

// Tick ends beliefs whose time is over. It reports whether any instance may be used differently.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for _, m := range t.members {
		if m.overdue(now) {
			changed = m.fire(now, eventElapsed) || changed
		}
	}
	return changed
}

// ReadAt returns when the list was last read; zero before the first time.
func (t *Table) ReadAt() time.Time { return t.readAt }

// Lookup returns what is believed about an instance.
func (t *Table) Lookup(instance string) (Member, bool) {
	m := t.members[instance]
	if m == nil {
		return Member{}, false
	}
	return m.view(), true
}

// Near returns the members of a region, and all members of services that no open one there serves,
// in ID order.
func (t *Table) Near(region string) []Member {
	served := make(map[string]bool)
	for _, m := range t.members {
		if m.instance.Region == region && instanceChart.Label(m.state) == labelOpen {
			served[m.instance.Service] = true
		}
	}
	var near []Member
	for _, m := range t.members {
		if m.instance.Region == region || !served[m.instance.Service] {
			near = append(near, m.view())
		}
	}
	slices.SortFunc(near, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return near
}

// Members returns all known instances in ID order.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m.view())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
