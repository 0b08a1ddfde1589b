package main

import "fmt"

// frontendSettings returns the settings file of an entry host, with the bounds and sizes of asistencija-hr.
func frontendSettings(ip, zone, store string) string {
	const role = `
Role = "gateway"
MachineClass = "frontend"
Serves = ["frontend"]`
	listen := fmt.Sprintf("Front = %q\nReadinessAddress = %q", ip+":"+callerPort, ip+":"+readinessPort)
	return settingsFile("frontend-"+zone+"-1", ip, zone, role, listen, "CpuShare = 0.4\nMemoryMb = 284\nFileDescriptors = 4100\nLinkMbps = 1000.0", store)
}

// sideSettings returns the settings file of a host beside an engine.
func sideSettings(ip, zone, store string) string {
	role := fmt.Sprintf(`
Role = "stock"
MachineClass = "side"
Serves = ["side"]
app = %q
Service = %q`, ip+":"+serverPort, engineService)
	return settingsFile("side-"+zone+"-1", ip, zone, role, "", "CpuShare = 0.48\nMemoryMb = 152\nFileDescriptors = 2048\nLinkMbps = 7.6", store)
}

func settingsFile(name, ip, zone, role, listen, limits, store string) string {
	return fmt.Sprintf(`
NodeName = %q
Ip = %q
Zone = %q
Region = %q%s
InternalPortRange = [7700,7715]
SeedNodes = []
Bootstrap = true
ToleranceCounted = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
[Zones]
rijeka-1 = "kvarner"
split-1 = "dalmatia"
zagreb-1 = "panonija"
[ListenAddresses]
%s
[Limits]
%s
CpuCores = 1
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
StabilityWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GracePeriodS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterBoundMs = 5000
RevokeWhenPartitioned = false
RevocationMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetryBudgetSlack = 104
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
version_ms = 8000
version_all_ms = 0
[Platform]
Address = %q
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 24
AppendMs = 1.0
PartMbPerS = 20.0
ReadMbPerS = 80.0
RecordBytes = 262144
MaxBatchBytes = 2097152
keep_s = 300
MaxPartitionMb = 200
MinTtlMs = 1000
`, name, ip, zone, regions[zone], role, listen, limits, store)
}

// regions maps each zone to its region.
var regions = map[string]string{"rijeka-1": "kvarner", "split-1": "dalmatia", "zagreb-1": "panonija"}
