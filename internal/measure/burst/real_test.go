package burst
import "syscall"
func realNow() float64 { var u syscall.Rusage; syscall.Getrusage(0,&u); return float64(u.Utime.Sec)+float64(u.Utime.Usec)/1e6 }
