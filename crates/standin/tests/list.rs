//! The platform's list of VMs as the daemons' client reads it.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Method;
use pistachiostair::{HttpClient, MemberState, Millis, Store, Traffic, Vm, VmList, VmRole};
use standin::{Platform, ask, run};

fn vm(number: usize, state: MemberState) -> Vm {
    Vm {
        name: format!("w{number:03}"),
        role: VmRole::Worker,
        address: format!("127.0.0.1:{}", 10_000 + number),
        state,
        region: None,
    }
}

/// Guards against a list that stays as it was when a VM changed, and against reading all of an unchanged one.
#[test]
fn list_unchanged() {
    run(1, |executor| async move {
        let local: SocketAddr = "127.0.0.1:0".parse().expect("address");
        let platform = Platform::new(Millis(0))
            .serve(&executor, local)
            .await
            .expect("platform");
        let platform = platform.to_string();
        let traffic = Arc::new(Traffic::default());
        let client = HttpClient::new(executor.clone(), 4, 1_000_000).with_traffic(traffic.clone(), "platform");
        let store = Store::new(Arc::new(client), platform.as_str(), Millis(1_000));
        let harness = HttpClient::new(executor.clone(), 4, 1_000_000);
        let enter = async |vm: Vm| {
            let () = ask(&harness, &platform, Method::POST, "/v1/vms", &vm)
                .await
                .expect("vm");
        };
        for number in 0..100 {
            enter(vm(number, MemberState::Live)).await;
        }
        let all = store.list().await.expect("list");
        assert_eq!(all.len(), 100);
        let whole = traffic.received();
        assert_eq!(store.list().await.expect("list"), all);
        let again = traffic.received() - whole;
        assert!(again * 20 < whole, "{again} of {whole} bytes for an unchanged list");

        enter(vm(7, MemberState::Leaving)).await;
        let changed = store.list().await.expect("list");
        assert_eq!((changed.len(), changed[7].state), (100, MemberState::Leaving));
        let path = "/v1/vms/w007";
        let () = ask(&harness, &platform, Method::DELETE, path, &())
            .await
            .expect("delete");
        let fewer = store.list().await.expect("list");
        assert!(fewer.len() == 99 && fewer.iter().all(|vm| vm.name != "w007"));
        assert_eq!(store.list().await.expect("list"), fewer);
    });
}
