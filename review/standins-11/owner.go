package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// sockets returns the inodes of the connections of this machine by both of their addresses, as in the kernel's table. All processes
// of a case have the same IP address, so that the address of a connection does not tell whose it is.
func sockets() map[string]string {
	inodes := map[string]string{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return inodes
	}
	defer func() { _ = f.Close() }()
	for in := bufio.NewScanner(f); in.Scan(); {
		if fields := strings.Fields(in.Text()); len(fields) > 9 {
			inodes[fields[1]+fields[2]] = fields[9]
		}
	}
	return inodes
}

// owns reports whether the process of the daemon has the other end of a connection.
func (d *daemon) owns(c net.Conn, inodes map[string]string) bool {
	far, ok := c.RemoteAddr().(*net.TCPAddr)
	near, isTCP := c.LocalAddr().(*net.TCPAddr)
	if !ok || !isTCP || d.cmd == nil {
		return false
	}
	inode, ok := inodes[fmt.Sprintf("0100007F:%04X0100007F:%04X", far.Port, near.Port)]
	if !ok {
		return false
	}
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", d.cmd.Process.Pid))
	for _, l := range links {
		if target, err := os.Readlink(l); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
