package standin

import "fmt"

// PutRollout writes an operator's order to move a service to a version.
func (t *Topics) PutRollout(service, to string, durationSeconds float64) {
	t.Put("keyed.op", "rollout/"+service, fmt.Appendf(nil, `{"service":%q,"to":%q,"duration_s":%g}`, service, to, durationSeconds))
}

// WithdrawRollout deletes the order of a service.
func (t *Topics) WithdrawRollout(service string) { t.Put("keyed.op", "rollout/"+service, nil) }

// RolloutStatus returns the status record of a service's rollout; empty if there is none.
func (t *Topics) RolloutStatus(service string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.partition("keyed.status/0").values["rollout/"+service])
}
