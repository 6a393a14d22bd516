package load

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Observers passes what it observes on to several observers, in their order.
type Observers []Observer

var _ Observer = Observers(nil)

// Started implements Observer.
func (o Observers) Started(now clock.Millis, service spool.ServiceName, instance Instance) {
	for _, observer := range o {
		observer.Started(now, service, instance)
	}
}

// Ended implements Observer.
func (o Observers) Ended(now clock.Millis, service spool.ServiceName, instance Instance, sample Sample) {
	for _, observer := range o {
		observer.Ended(now, service, instance, sample)
	}
}
