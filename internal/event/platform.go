package event

import "github.com/apex/log"

// Events of gatewayd and stockd, 1700 to 1799.
var (
	RequestRefused         = Event{1701, log.InfoLevel, "request refused"}
	RequestCompleted       = Event{1702, log.InfoLevel, "request completed"}
	AttemptFailed          = Event{1703, log.InfoLevel, "attempt failed"}
	CrashRecorded          = Event{1706, log.WarnLevel, "endpoint crashed with requests in progress"}
	FeatureQuarantined     = Event{1707, log.WarnLevel, "feature of requests crashes endpoints; requests with it are refused"}
	QuarantineLifted       = Event{1708, log.InfoLevel, "requests with a feature are no longer refused"}
	HostSuspended          = Event{1710, log.WarnLevel, "host was suspended"}
	HostReady              = Event{1711, log.InfoLevel, "host is ready"}
	ConfigApplied          = Event{1712, log.InfoLevel, "configuration applied"}
	ConfigInvalid          = Event{1713, log.ErrorLevel, "configuration does not parse"}
	ReleaseFound           = Event{1714, log.InfoLevel, "new release found"}
	ReleaseInvalid         = Event{1715, log.WarnLevel, "release does not parse"}
	EndpointRemoved        = Event{1716, log.InfoLevel, "endpoint was removed from the inventory"}
	StoreUnreachable       = Event{1717, log.WarnLevel, "store cannot be reached"}
	StoreReachable         = Event{1718, log.InfoLevel, "store can be reached again"}
	ChangesExpired         = Event{1719, log.WarnLevel, "store no longer holds the changes since the last read; reading all values"}
	HostRegistrationFailed = Event{1720, log.WarnLevel, "host could not be registered; will be retried"}
	EntryHostInvalid       = Event{1721, log.WarnLevel, "entry host's record does not parse"}
	LoadMessageInvalid     = Event{1722, log.WarnLevel, "load message does not parse"}
	EndpointUnreachable    = Event{1723, log.WarnLevel, "endpoint cannot be reached"}
	EndpointReachable      = Event{1724, log.InfoLevel, "endpoint can be reached again"}
	StoreRestored          = Event{1728, log.WarnLevel, "platform's store has been restored from an older copy; reading it again"}
	EndpointLeaving        = Event{1725, log.InfoLevel, "endpoint says that it is leaving; it gets no further requests"}
	EndpointPaused         = Event{1726, log.WarnLevel, "endpoint asks for a pause; it gets no requests until then"}
	EndpointPauseInvalid   = Event{1727, log.WarnLevel, "endpoint asks for a pause that does not parse; ignored"}
	RecordsSourceChanged   = Event{1729, log.InfoLevel, "records of the store are read from another source"}
	EndpointLimited        = Event{1746, log.InfoLevel, "endpoint has changed the limit on its requests"}
	EndpointLimitInvalid   = Event{1747, log.WarnLevel, "endpoint states a limit that does not parse; ignored"}
	ReleaseFetchFailed     = Event{1731, log.WarnLevel, "release is not fetched completely yet; will be retried"}
	OriginFetchFailed      = Event{1732, log.WarnLevel, "chunk could not be fetched from the origin"}
	PeerFetchFailed        = Event{1733, log.WarnLevel, "chunk could not be fetched from another host"}
	ChunksFetched          = Event{1734, log.InfoLevel, "chunks fetched and verified"}
	StagedChunksReused     = Event{1735, log.InfoLevel, "staged chunks reused"}
	StagedChunksNotReused  = Event{1736, log.WarnLevel, "staged chunks cannot be reused"}
	StagedChunkCorrupt     = Event{1737, log.WarnLevel, "staged chunk is corrupt or missing; staging it again"}
	WeightsNotServed       = Event{1738, log.WarnLevel, "weights are not served yet"}
	ReleaseLoadIssued      = Event{1739, log.InfoLevel, "load command for a release issued to the engine"}
	ReleaseServed          = Event{1740, log.InfoLevel, "engine serves the release"}
	FleetStateUnreadable   = Event{1741, log.WarnLevel, "fleet state cannot be read"}
	ReleaseArchived        = Event{1742, log.InfoLevel, "release archived in the store"}
	ReleaseArchiveFailed   = Event{1743, log.WarnLevel, "release is not archived in the store yet"}
	ArchiveReadFailed      = Event{1744, log.InfoLevel, "archived release cannot be read from the store; reading it from the origin"}
	EarlyLoadFailed        = Event{1745, log.WarnLevel, "engine could not load its first layers early; loading waits for all chunks"}
	QuarantineRestored     = Event{1771, log.WarnLevel, "quarantined features learned from the store"}
	QuarantineUnreadable   = Event{1772, log.WarnLevel, "record of a quarantined feature does not parse"}
	QuarantineWriteFailed  = Event{1773, log.WarnLevel, "records of quarantined features could not be written; will be retried"}
	SettingsReloaded       = Event{1751, log.InfoLevel, "settings reloaded"}
	SettingsRejected       = Event{1752, log.WarnLevel, "reloaded settings are invalid and were ignored"}
	CallerDisconnected     = Event{1704, log.InfoLevel, "caller disconnected before the response was complete"}
	ResponseAborted        = Event{1705, log.WarnLevel, "response aborted"}
	RequestWithdrawn       = Event{1709, log.InfoLevel, "request withdrawn from an engine on an older release before it began"}
	ProcessFailed          = Event{1753, log.ErrorLevel, "process failed"}
	ReleaseStalled         = Event{1754, log.WarnLevel, "release does not arrive; an earlier one is fetched meanwhile"}
	SlotsReserved          = Event{1780, log.InfoLevel, "requests are refused to keep slots free for more urgent ones"}
	OrganisationAboveShare = Event{1781, log.InfoLevel, "requests of an organisation above its fair share are refused before those of others"}
	ZoneEvacuated          = Event{1760, log.WarnLevel, "zone is evacuated; its endpoints get no requests"}
	EndpointEjected        = Event{1785, log.WarnLevel, "endpoint fails far more often than the others of its pool; it gets single requests only"}
	EndpointReadmitted     = Event{1786, log.InfoLevel, "ejected endpoint is in use again"}
	ZoneReturned           = Event{1761, log.InfoLevel, "evacuation of a zone has ended"}
	ZoneImpaired           = Event{1790, log.WarnLevel, "zone gets fewer requests from other zones"}
	ZoneRecovered          = Event{1791, log.InfoLevel, "zone gets all of its requests again"}
	SpillBegun             = Event{1792, log.InfoLevel, "requests are sent to other zones"}
	SpillEnded             = Event{1793, log.InfoLevel, "requests stay in their zone again"}
	BufferBoundReached     = Event{1795, log.WarnLevel, "too much is buffered for callers and endpoints; new requests are refused"}
	BufferBoundCleared     = Event{1796, log.InfoLevel, "new requests are no longer refused because of what is buffered"}
	CallerReadsSlowly      = Event{1797, log.InfoLevel, "caller does not read its response; the response is read on into a buffer"}
	EndpointReadsSlowly    = Event{1798, log.InfoLevel, "endpoint does not read its requests; it was passed over"}
	EndpointCold           = Event{1765, log.InfoLevel, "endpoint is cold; requests to it need permits"}
	EndpointWarm           = Event{1766, log.InfoLevel, "endpoint is no longer cold"}
	PermitRateChanged      = Event{1767, log.InfoLevel, "rate of the permits for an endpoint has changed"}
)
