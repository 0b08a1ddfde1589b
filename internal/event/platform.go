package event

import "github.com/apex/log"

// Events of the programs on the platform.
var (
	// RequestRefused is event 1701.
	RequestRefused = Event{1701, log.InfoLevel, "request refused"}
	// RequestAnswered is event 1702.
	RequestAnswered = Event{1702, log.InfoLevel, "request answered"}
	// AttemptFailed is event 1703.
	AttemptFailed = Event{1703, log.InfoLevel, "attempt failed"}
	// HostReady is event 1711.
	HostReady = Event{1711, log.InfoLevel, "host is ready"}
	// DirectoryInForce is event 1712.
	DirectoryInForce = Event{1712, log.InfoLevel, "configuration in force"}
	// DirectoryInvalid is event 1713.
	DirectoryInvalid = Event{1713, log.ErrorLevel, "configuration does not parse"}
	// ReleaseKnown is event 1714.
	ReleaseKnown = Event{1714, log.InfoLevel, "release known"}
	// ReleaseInvalid is event 1715.
	ReleaseInvalid = Event{1715, log.WarnLevel, "release does not parse"}
	// EntryRemoved is event 1716.
	EntryRemoved = Event{1716, log.InfoLevel, "endpoint's entry was removed"}
	// StoreLost is event 1717.
	StoreLost = Event{1717, log.WarnLevel, "store lost"}
	// StoreRegained is event 1718.
	StoreRegained = Event{1718, log.InfoLevel, "store regained"}
	// ChangesGone is event 1719.
	ChangesGone = Event{1719, log.WarnLevel, "changes are no longer held; reading all values"}
	// HostNotEnrolled is event 1720.
	HostNotEnrolled = Event{1720, log.WarnLevel, "host is not enrolled yet"}
	// EntryInvalid is event 1721.
	EntryInvalid = Event{1721, log.WarnLevel, "entry host's record does not parse"}
	// LoadInvalid is event 1722.
	LoadInvalid = Event{1722, log.WarnLevel, "load message does not parse"}
	// EndpointLost is event 1723.
	EndpointLost = Event{1723, log.WarnLevel, "endpoint cannot be reached"}
	// EndpointRegained is event 1724.
	EndpointRegained = Event{1724, log.InfoLevel, "endpoint can be reached again"}
	// ReleaseNotCarried is event 1731.
	ReleaseNotCarried = Event{1731, log.WarnLevel, "release is not carried yet"}
	// OriginFailed is event 1732.
	OriginFailed = Event{1732, log.WarnLevel, "origin did not give a chunk"}
	// HostFailed is event 1733.
	HostFailed = Event{1733, log.WarnLevel, "host did not give a chunk"}
	// ChunksFetched is event 1734.
	ChunksFetched = Event{1734, log.InfoLevel, "chunks fetched and verified"}
	// StagedTaken is event 1735.
	StagedTaken = Event{1735, log.InfoLevel, "staged chunks taken over"}
	// StagedNotTaken is event 1736.
	StagedNotTaken = Event{1736, log.WarnLevel, "staged chunks are not taken over"}
	// StagedSpoilt is event 1737.
	StagedSpoilt = Event{1737, log.WarnLevel, "staged chunk is spoilt or missing; staging it again"}
	// WeightsNotServed is event 1738.
	WeightsNotServed = Event{1738, log.WarnLevel, "weights are not served yet"}
	// LoadOrdered is event 1739.
	LoadOrdered = Event{1739, log.InfoLevel, "engine was ordered to load"}
	// ReleaseServed is event 1740.
	ReleaseServed = Event{1740, log.InfoLevel, "engine serves the release"}
	// FleetUnknown is event 1741.
	FleetUnknown = Event{1741, log.WarnLevel, "fleet is not known"}
	// Kept is event 1742.
	Kept = Event{1742, log.InfoLevel, "release is kept in the store"}
	// NotKept is event 1743.
	NotKept = Event{1743, log.WarnLevel, "release is not kept in the store yet"}
	// KeptNotRead is event 1744.
	KeptNotRead = Event{1744, log.InfoLevel, "release cannot be read from the store; reading it from the origin"}
	// PartNotLoaded is event 1745.
	PartNotLoaded = Event{1745, log.WarnLevel, "engine did not load its first layers; it waits for all chunks"}
	// SettingsRead is event 1751.
	SettingsRead = Event{1751, log.InfoLevel, "settings read again"}
	// SettingsRefused is event 1752.
	SettingsRefused = Event{1752, log.WarnLevel, "settings are not taken over"}
	// RequestLeft is event 1704.
	RequestLeft = Event{1704, log.InfoLevel, "caller left before the answer"}
	// RequestCut is event 1705.
	RequestCut = Event{1705, log.WarnLevel, "answer was broken off"}
	// ProcessFailed is event 1753.
	ProcessFailed = Event{1753, log.ErrorLevel, "process failed"}
)
