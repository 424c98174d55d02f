package fleet

// Names of this package's log events. docs/OPERATIONS.md lists their fields.
const (
	EventSuspended       = "machine_was_suspended"
	EventServerHealth    = "server_health"
	EventServerState     = "server_state"
	EventServers         = "servers_changed"
	EventPeerSilent      = "peer_silent"
	EventEnginesAssigned = "engines_dealt"
	EventPeerLive        = "peer_heard"
	EventConfiguration   = "configuration_taken"
	EventTargetWeights   = "weights_named"
	EventUnreadable      = "document_unreadable"
	EventStoreLost       = "metastore_lost"
	EventStoreRegained   = "metastore_regained"
	EventCaughtUp        = "caught_up_from_peer"
	EventCatchUpFailed   = "catch_up_failed"
	EventLeaseWon        = "lease_won"
	EventLeaseLost       = "lease_lost"
	EventOrder           = "order"
	EventEngineReady     = "engine_has_version"
	EventReportFailed    = "report_failed"
	EventPartsFreed      = "parts_freed"
	EventCacheStoreLost  = "cache_store_lost"
	EventCacheStoreFound = "cache_store_found"
	EventBeatFailed      = "beat_failed"
	EventAnnounceFailed  = "announce_failed"
)
