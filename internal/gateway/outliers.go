package gateway

import (
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/outlier"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// newEndpointTable returns an empty table. Unless balancing is off, requests go where they are
// expected to finish first, and outliers are taken out of use; view, which may be nil,
// contributes what all gateways know of the endpoints, and observers are told of each request.
func newEndpointTable(settings spool.GatewaySettings, view load.View, t *telemetry.Telemetry, observers ...load.Observer) *endpoints.Table {
	options := []endpoints.Option{endpoints.WithDrainWithin(settings.DrainWithin)}
	if settings.Balancing.Enabled {
		detector := newOutlierDetector(settings, view, t)
		options = append(options, endpoints.WithPolicy(newBalancingPolicy(settings)), endpoints.WithView(view),
			endpoints.WithOutliers(detector), endpoints.WithSpreadAffinity(),
			endpoints.WithObserver(append(load.Observers{detector}, observers...)))
	}
	return endpoints.NewTable(settings.FailureDomain, options...)
}

// outlierEvents contains the names of the counted events, by the kind of the change and the
// cause of the ejection.
var outlierEvents = map[outlier.Kind]map[outlier.Cause]string{
	outlier.KindEjected: {
		outlier.CauseFailures: "endpointEjectedForFailures", outlier.CauseLateness: "endpointEjectedForLateness",
	},
	outlier.KindReturned: {
		outlier.CauseFailures: "endpointReturned", outlier.CauseLateness: "endpointReturned",
	},
	outlier.KindDisplaced: {
		outlier.CauseFailures: "endpointEjectionDisplaced", outlier.CauseLateness: "endpointEjectionDisplaced",
	},
}

// newOutlierDetector returns a detector whose changes are counted and logged.
func newOutlierDetector(settings spool.GatewaySettings, view load.View, t *telemetry.Telemetry) *outlier.Detector {
	log := t.Logger("outliers")
	return outlier.New(view, outlier.WithSeed(string(settings.Node)), outlier.WithReport(func(event outlier.Event) {
		t.CountEvent(outlierEvents[event.Kind][event.Cause])
		log.Info("endpoint "+string(event.Kind), zap.String("endpoint", string(event.Instance.ID)), zap.Int64("startedAt", int64(event.Instance.StartedAt)),
			zap.String("service", string(event.Service)), zap.String("cause", string(event.Cause)), zap.Int64("forMs", int64(max(0, event.Until-event.At))),
			zap.Int("level", event.Level), zap.Float64("ownScore", event.OwnScore), zap.Float64("sharedScore", event.SharedScore), zap.Float64("ratio", event.Ratio))
	}))
}
