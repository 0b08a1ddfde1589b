package event

import "github.com/apex/log"

// Events of the programs on the platform.
var (
	// RequestRefused is event 1701.
	RequestRefused = Event{1701, log.InfoLevel, "request refused"}
	// RequestCompleted is event 1702.
	RequestCompleted = Event{1702, log.InfoLevel, "request answered"}
	// AttemptFailed is event 1703.
	AttemptFailed = Event{1703, log.InfoLevel, "attempt failed"}
	// HostReady is event 1711.
	HostReady = Event{1711, log.InfoLevel, "host is ready"}
	// ConfigApplied is event 1712.
	ConfigApplied = Event{1712, log.InfoLevel, "configuration in force"}
	// ConfigInvalid is event 1713.
	ConfigInvalid = Event{1713, log.ErrorLevel, "configuration does not parse"}
	// ReleaseFound is event 1714.
	ReleaseFound = Event{1714, log.InfoLevel, "release known"}
	// ReleaseInvalid is event 1715.
	ReleaseInvalid = Event{1715, log.WarnLevel, "release does not parse"}
	// EndpointRemoved is event 1716.
	EndpointRemoved = Event{1716, log.InfoLevel, "endpoint's entry was removed"}
	// StoreUnreachable is event 1717.
	StoreUnreachable = Event{1717, log.WarnLevel, "store lost"}
	// StoreReachable is event 1718.
	StoreReachable = Event{1718, log.InfoLevel, "store regained"}
	// ChangesExpired is event 1719.
	ChangesExpired = Event{1719, log.WarnLevel, "changes are no longer held; reading all values"}
	// HostRegistrationFailed is event 1720.
	HostRegistrationFailed = Event{1720, log.WarnLevel, "host is not enrolled yet"}
	// EntryHostInvalid is event 1721.
	EntryHostInvalid = Event{1721, log.WarnLevel, "entry host's record does not parse"}
	// LoadMessageInvalid is event 1722.
	LoadMessageInvalid = Event{1722, log.WarnLevel, "load message does not parse"}
	// EndpointUnreachable is event 1723.
	EndpointUnreachable = Event{1723, log.WarnLevel, "endpoint cannot be reached"}
	// EndpointReachable is event 1724.
	EndpointReachable = Event{1724, log.InfoLevel, "endpoint can be reached again"}
	// ReleaseFetchFailed is event 1731.
	ReleaseFetchFailed = Event{1731, log.WarnLevel, "release is not carried yet"}
	// OriginFetchFailed is event 1732.
	OriginFetchFailed = Event{1732, log.WarnLevel, "origin did not give a chunk"}
	// PeerFetchFailed is event 1733.
	PeerFetchFailed = Event{1733, log.WarnLevel, "host did not give a chunk"}
	// ChunksFetched is event 1734.
	ChunksFetched = Event{1734, log.InfoLevel, "chunks fetched and verified"}
	// StagedChunksReused is event 1735.
	StagedChunksReused = Event{1735, log.InfoLevel, "staged chunks taken over"}
	// StagedChunksNotReused is event 1736.
	StagedChunksNotReused = Event{1736, log.WarnLevel, "staged chunks are not taken over"}
	// StagedChunkCorrupt is event 1737.
	StagedChunkCorrupt = Event{1737, log.WarnLevel, "staged chunk is spoilt or missing; staging it again"}
	// WeightsNotServed is event 1738.
	WeightsNotServed = Event{1738, log.WarnLevel, "weights are not served yet"}
	// ReleaseLoadIssued is event 1739.
	ReleaseLoadIssued = Event{1739, log.InfoLevel, "engine was ordered to load"}
	// ReleaseServed is event 1740.
	ReleaseServed = Event{1740, log.InfoLevel, "engine serves the release"}
	// FleetStateUnreadable is event 1741.
	FleetStateUnreadable = Event{1741, log.WarnLevel, "fleet is not known"}
	// ReleaseArchived is event 1742.
	ReleaseArchived = Event{1742, log.InfoLevel, "release is kept in the store"}
	// ReleaseArchiveFailed is event 1743.
	ReleaseArchiveFailed = Event{1743, log.WarnLevel, "release is not kept in the store yet"}
	// ArchiveReadFailed is event 1744.
	ArchiveReadFailed = Event{1744, log.InfoLevel, "release cannot be read from the store; reading it from the origin"}
	// EarlyLoadFailed is event 1745.
	EarlyLoadFailed = Event{1745, log.WarnLevel, "engine did not load its first layers; it waits for all chunks"}
	// SettingsReloaded is event 1751.
	SettingsReloaded = Event{1751, log.InfoLevel, "settings read again"}
	// SettingsRejected is event 1752.
	SettingsRejected = Event{1752, log.WarnLevel, "settings are not taken over"}
	// CallerDisconnected is event 1704.
	CallerDisconnected = Event{1704, log.InfoLevel, "caller left before the answer"}
	// ResponseAborted is event 1705.
	ResponseAborted = Event{1705, log.WarnLevel, "answer was broken off"}
	// ProcessFailed is event 1753.
	ProcessFailed = Event{1753, log.ErrorLevel, "process failed"}
)
