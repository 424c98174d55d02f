package fleet

import "github.com/uber-go/tally/v4"

// Counters are the metrics of the control state.
type Counters struct {
	StoreCalls          tally.Counter
	StoreFailures       tally.Counter
	Orders              tally.Counter
	PartsFreed          tally.Counter
	UnreadableDocuments tally.Counter
	ConfigVersion       tally.Gauge
	ConfigurationAgeMS  tally.Gauge
	Peers               tally.Gauge
	Servers             tally.Gauge
	LogLinesLost        tally.Gauge
	Era                 tally.Gauge
	ServersLeaving      tally.Gauge
	ServerCrashes       tally.Counter
	PartsHeld           tally.Gauge
	ServersLimited      tally.Gauge
	// ServersStatingSpeed counts the servers that have lately stated how long work takes there, ServersSlow those of them that are
	// expected to be slower than usual. SpeedFactor is the distribution of the factors in placements on such servers.
	ServersStatingSpeed tally.Gauge
	ServersSlow         tally.Gauge
	SpeedFactor         tally.Histogram
	// MaxServerBytes is the known size of the requests in flight to the server that has most, in bytes.
	MaxServerBytes tally.Gauge
	// LimitGrants counts the requests of limits that this gateway has granted, LimitRefusals the asks that it has refused,
	// LimitAskFailures those that their owner didn't answer.
	LimitGrants      tally.Counter
	LimitRefusals    tally.Counter
	LimitAskFailures tally.Counter
	// ServersCold is the number of servers that may be cold, ColdGrantsUsed counts the requests placed under grants for them, and
	// ColdAsksRefused this gateway's asks for such grants that got none. ColdSendsWithheld counts the requests that weren't sent
	// because their server became cold after they were placed.
	ServersCold       tally.Gauge
	ColdGrantsUsed    tally.Counter
	ColdAsksRefused   tally.Counter
	ColdSendsWithheld tally.Counter
	// OriginAsks counts the streams whose origin other gateways were asked for, OriginsUnknown those of which no gateway knew it.
	OriginAsks         tally.Counter
	OriginsUnknown     tally.Counter
	OriginSendFailures tally.Counter
	OriginsKept        tally.Gauge
	// ChannelsReplaced counts the channels to other gateways that were replaced because nothing arrived on them any more.
	ChannelsReplaced tally.Counter
	// EvacuatedOrders is the number of orders to evacuated engines, which Orders includes.
	EvacuatedOrders tally.Counter
	// EvacuatedDomains is the number of evacuated failure domains, EvacuationRefusals counts the placements that were refused because
	// of them.
	EvacuatedDomains   tally.Gauge
	EvacuationRefusals tally.Counter
	scope              tally.Scope
}

// NewCounters returns Counters that report to scope.
func NewCounters(scope tally.Scope) *Counters {
	return &Counters{
		StoreCalls:          scope.Counter("metastore_calls"),
		StoreFailures:       scope.Counter("metastore_failures"),
		EvacuatedOrders:     scope.Counter("weight_orders_evacuated"),
		Orders:              scope.Counter("weight_orders"),
		PartsFreed:          scope.Counter("cache_parts_freed"),
		UnreadableDocuments: scope.Counter("unreadable_documents"),
		ConfigVersion:       scope.Gauge("configuration_version"),
		ConfigurationAgeMS:  scope.Gauge("configuration_age_ms"),
		Peers:               scope.Gauge("peers_live"),
		Servers:             scope.Gauge("servers"),
		LogLinesLost:        scope.Gauge("log_lines_lost"),
		Era:                 scope.Gauge("metastore_era"),
		ServersLeaving:      scope.Gauge("servers_leaving"),
		ServerCrashes:       scope.Counter("server_crashes"),
		PartsHeld:           scope.Gauge("parts_held"),
		ServersLimited:      scope.Gauge("servers_limited"),
		ServersStatingSpeed: scope.Gauge("servers_stating_speed"),
		ServersSlow:         scope.Gauge("servers_slow_now"),
		SpeedFactor:         scope.Histogram("placement_speed_factor", speedBuckets),
		MaxServerBytes:      scope.Gauge("server_request_bytes_max"),
		LimitGrants:         scope.Counter("limit_grants"),
		LimitRefusals:       scope.Counter("limit_refusals"),
		LimitAskFailures:    scope.Counter("limit_ask_failures"),
		ServersCold:         scope.Gauge("servers_cold"),
		ColdGrantsUsed:      scope.Counter("cold_grants_used"),
		ColdAsksRefused:     scope.Counter("cold_asks_refused"),
		ColdSendsWithheld:   scope.Counter("cold_sends_withheld"),
		OriginAsks:          scope.Counter("stream_origin_asks"),
		OriginsUnknown:      scope.Counter("stream_origins_unknown"),
		OriginSendFailures:  scope.Counter("stream_origin_send_failures"),
		ChannelsReplaced:    scope.Counter("channels_replaced"),
		OriginsKept:         scope.Gauge("stream_origins_kept"),
		EvacuatedDomains:    scope.Gauge("evacuated_domains"),
		EvacuationRefusals:  scope.Counter("evacuation_refusals"),
		scope:               scope,
	}
}

// engineVersion sets the gauge of the last known weight version of one server.
func (c *Counters) engineVersion(server, model string, version int64) {
	c.scope.Tagged(map[string]string{"server": server, "model": model}).Gauge("weight_version").Update(float64(version))
}
